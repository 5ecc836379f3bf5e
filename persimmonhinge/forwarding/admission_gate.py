"""Applies the admission of new flows to packets, and reports its decisions."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import time

from persimmonhinge import early_logs
from persimmonhinge import line_budgets
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import verdict as verdict_module
from persimmonhinge.forwarding.decisions.admission import (
    admission as admission_module,
)
from persimmonhinge.forwarding.decisions.admission import decision
from persimmonhinge.forwarding.decisions.admission import waiting_flow
from persimmonhinge.forwarding.decisions.pace import retry_budget
from persimmonhinge.forwarding.decisions.placement import chooser
from persimmonhinge.metrics import counts as counts_module

logger = early_logs.get_logger(__name__)


# Values of the label `outcome` of decisions on flows that waited.
_OUTCOMES = {
    verdict_module.Action.PLACE: "admit",
    verdict_module.Action.RESET: "reject",
    verdict_module.Action.DROP: "drop",
}


def _get_no_age(now: float) -> float | None:
    """Returns the age of reports where none are received."""
    return None


class AdmissionGate:
    """Decides on opening packets, and releases those that wait."""

    def __init__(
        self,
        admission: admission_module.FlowAdmission,
        knowledge: knowledge_module.Knowledge,
        counts: counts_module.Counts,
        clock: Callable[[], float] = time.monotonic,
        compute_demand_age: Callable[[float], float | None] = _get_no_age,
    ) -> None:
        """Creates a gate.

        Args:
            admission: Decides on new flows.
            knowledge: Routes, and whether flows may be reset.
            counts: Receives the decisions.
            clock: Returns the current time, seconds; limits the log lines.
            compute_demand_age: Returns the age of the newest report of demand
                in the own failure domain at a time, seconds; None if only
                observations of this host are used.
        """
        self._admission = admission
        self._knowledge = knowledge
        self._counts = counts
        self._compute_demand_age = compute_demand_age
        self._lines = line_budgets.Budget(clock)

    @property
    def retries(self) -> retry_budget.RetryBudget:
        """Budget for retries of the host and of returning callers."""
        return self._admission.retries

    @property
    def has_waiting(self) -> bool:
        """Whether any flow waits."""
        return self._admission.waiting_count > 0

    def is_urgent(self, packet: packet_module.Packet) -> bool:
        """Returns whether a packet's route has the highest priority."""
        route = self._knowledge.find_route(packet.flow)
        if route is None or not route.takes_part:
            return True
        return self._admission.budget.is_most_urgent(route.priority)

    def handle_opening(
        self,
        packet: packet_module.Packet,
        route: route_module.Route,
        now: float,
    ) -> list[verdict_module.Verdict]:
        """Decides on the opening packet of a flow that was not placed.

        Returns:
            What to do with this packet and with packets that waited; empty if
            the packet waits.
        """
        if not route.takes_part:
            return [
                verdict_module.Verdict(
                    verdict_module.Action.PLACE, packet, "no-targets"
                )
            ]
        if self._admission.replace_packet(packet):
            return []
        new_flow = admission_module.NewFlow(
            packet,
            route,
            chooser.choose_service(route, packet.flow),
            self._can_reset(now),
        )
        made = self._admission.decide(new_flow, now)
        self._report(route, made.outcome.value, made.reason)
        self._log(new_flow, made, now)
        return self._list_verdicts(new_flow, made, now)

    def pop_due(self, now: float) -> Iterator[verdict_module.Verdict]:
        """Yields what to do with flows that need not or can't wait longer.

        The caller places each flow before it asks for the next one, as that
        depends on the budget that is left.
        """
        while (flow := self._admission.pop_released(now)) is not None:
            self._counts.observe_by_labels(
                "admission_wait_seconds",
                now - flow.arrived_at,
                route=flow.route.name,
                priority=str(flow.route.priority),
            )
            yield self._end_wait(
                flow, verdict_module.Action.PLACE, "released", now
            )
        can_reset = self._can_reset(now)
        action = (
            verdict_module.Action.RESET
            if can_reset
            else verdict_module.Action.DROP
        )
        while (flow := self._admission.pop_expired(can_reset, now)) is not None:
            yield self._end_wait(flow, action, "expired", now)

    def begin_stop(self, now: float) -> Iterator[verdict_module.Verdict]:
        """Yields what to do with waiting flows at a planned stop."""
        for flow in self._admission.begin_stop():
            yield self._end_wait(
                flow, verdict_module.Action.PLACE, "stopping", now
            )

    def remove(self, packet: packet_module.Packet) -> None:
        """Removes the flow of a packet with which its caller ended it."""
        self._admission.remove(packet.flow)

    def cancel_start(self, packet: packet_module.Packet) -> None:
        """Returns the work of an opening that an upstream left unanswered."""
        route = self._knowledge.find_route(packet.flow)
        if route is not None and route.takes_part:
            service = chooser.choose_service(route, packet.flow)
            self._admission.cancel_start(route, service)

    def _list_verdicts(
        self,
        new_flow: admission_module.NewFlow,
        made: decision.Decision,
        now: float,
    ) -> list[verdict_module.Verdict]:
        if made.displaced is not None:
            # Without current knowledge no flow may be reset.
            action = (
                verdict_module.Action.RESET
                if new_flow.can_reset
                else verdict_module.Action.PLACE
            )
            return [self._end_wait(made.displaced, action, "displaced", now)]
        if made.outcome is decision.Outcome.WAIT:
            return []
        action = verdict_module.Action.PLACE
        if made.outcome is decision.Outcome.REJECT:
            # Only a copy of a flow that was reset is rejected without current
            # knowledge. Another host may have opened the flow of a copy whose
            # first packet did not come here.
            may_reset = new_flow.can_reset and (
                new_flow.packet.copy == 0 or made.reason == "copy"
            )
            action = (
                verdict_module.Action.RESET
                if may_reset
                else verdict_module.Action.DROP
            )
        return [verdict_module.Verdict(action, new_flow.packet, made.reason)]

    def _end_wait(
        self,
        flow: waiting_flow.WaitingFlow,
        action: verdict_module.Action,
        reason: str,
        now: float,
    ) -> verdict_module.Verdict:
        if not flow.is_repeated_here(now):
            action, reason = verdict_module.Action.DROP, "moved"
        elif (
            action is verdict_module.Action.RESET and not flow.has_first_packet
        ):
            action = verdict_module.Action.DROP
        self._report(flow.route, _OUTCOMES[action], reason)
        if self._take_line():
            logger.info(
                "A new flow no longer waits.",
                extra={
                    "flow": str(flow.packet.flow),
                    "route": flow.route.name,
                    "priority": flow.route.priority,
                    "outcome": _OUTCOMES[action],
                    "reason": reason,
                    "late": flow.is_late,
                    "waited_s": round(now - flow.arrived_at, 4),
                },
            )
        return verdict_module.Verdict(action, flow.packet, reason)

    def _can_reset(self, now: float) -> bool:
        knowledge = self._knowledge
        return knowledge.is_current(now) and (
            knowledge.store_trust.confirms_absence(now)
        )

    def _report(
        self, route: route_module.Route, outcome: str, reason: str
    ) -> None:
        self._counts.add(
            "admissions_total",
            route=route.name,
            priority=str(route.priority),
            outcome=outcome,
            reason=reason,
        )

    def _take_line(self) -> bool:
        """Returns whether a log line may be written; counts the others."""
        if self._lines.take():
            return True
        self._counts.add("admission_lines_omitted_total")
        return False

    def _log(
        self,
        new_flow: admission_module.NewFlow,
        made: decision.Decision,
        now: float,
    ) -> None:
        if not self._take_line():
            return
        demand_age_s = self._compute_demand_age(now)
        logger.info(
            "Decided on a new flow.",
            extra={
                "flow": str(new_flow.packet.flow),
                "copy": new_flow.packet.copy,
                "route": new_flow.route.name,
                "priority": new_flow.route.priority,
                "outcome": made.outcome.value,
                "reason": made.reason,
                **made.inputs,
                "demand_age_s": (
                    round(demand_age_s, 3) if demand_age_s is not None else None
                ),
                "age_ms": self._knowledge.compute_age_ms(now),
            },
        )
