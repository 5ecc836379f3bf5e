"""Decides which new flows are placed, wait or are rejected."""

from __future__ import annotations

import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.forwarding import packet as packet_module
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding import service_limit
from persimmonhinge.forwarding.decisions.admission import budget as budgets
from persimmonhinge.forwarding.decisions.admission import decision
from persimmonhinge.forwarding.decisions.admission import demand_sources
from persimmonhinge.forwarding.decisions.admission import recent_rejections
from persimmonhinge.forwarding.decisions.admission import waiting_flow
from persimmonhinge.forwarding.decisions.admission import waiting_flows
from persimmonhinge.forwarding.decisions.admission import waiting_summary
from persimmonhinge.forwarding.decisions.pace import retry_budget
from persimmonhinge.policies import admission as admission_policies

_MS_PER_S = 1000.0
# Time for which late flows are not held after another one has expired, seconds.
# A burst of traffic is about this long, and a mistake costs late answers only.
_EXPIRY_MEMORY_S = 2.0
# Least rate by which expected waits are computed, in slots. It keeps them
# finite if nothing is left for a priority.
_MIN_RATE = 1e-6
# Work by which a sum must exceed a limit to stop before its end, seconds; more
# than the rounding of a sum.
_MIN_EXCESS_S = 1e-6


class NewFlow(records.Record, frozen=True):
    """A flow whose first opening packet arrived.

    Attributes:
        packet: The opening packet.
        route: Its route, which takes part in overload control.
        service: Its service.
        can_reset: Whether what the host knows is current and reliable, so that
            flows may be reset.
    """

    packet: packet_module.Packet
    route: route_module.Route
    service: ids.ServiceName
    can_reset: bool


class _Inputs(records.Record, frozen=True):
    """What a decision depends on.

    Attributes:
        flow: The flow as it would wait.
        is_contended: Whether the demand for the service is near its capacity.
        share: Work that the host may start a second, in slots.
    """

    flow: waiting_flow.WaitingFlow
    is_contended: bool
    share: float

    @property
    def returning(self) -> bool:
        """Whether the caller returns after a rejection."""
        return self.flow.attempt > 1


class FlowAdmission:
    """Admits new flows at the pace at which upstreams can serve them.

    Attributes:
        budget: Work that may be started, debited by `BudgetDebits`.
        retries: Budget for retries of the host and of returning callers.
    """

    def __init__(
        self,
        settings: overload_settings.OverloadSettings,
        sources: demand_sources.DemandSources,
    ) -> None:
        """Creates the admission of a host that has just started.

        Args:
            settings: Limits of the overload control.
            sources: Demand, capacity and work.
        """
        self._settings = settings
        self._sources = sources
        self._waiting = waiting_flows.WaitingFlows(settings.max_waiting_flows)
        self._rejections = recent_rejections.RecentRejections()
        self._policy = admission_policies.DeadlineAdmission()
        self._is_stopping = False
        self._next_sequence = 0
        # When a flow last expired, by service and priority.
        self._expired_at: dict[tuple[ids.ServiceName, int], float] = {}
        self.budget = budgets.WorkBudget(settings.low_priority_share)
        self.retries = retry_budget.RetryBudget()

    @property
    def waiting_count(self) -> int:
        """Number of flows that wait."""
        return len(self._waiting)

    def list_waiting(self) -> list[waiting_summary.WaitingSummary]:
        """Returns what waits for each service and priority."""
        return self._waiting.list_summaries()

    def replace_packet(self, packet: packet_module.Packet) -> bool:
        """Stores a copy of an opening packet; False if its flow is not here."""
        return self._waiting.replace_packet(packet)

    def remove(self, flow: flow_module.FlowId) -> None:
        """Removes a flow that its caller has ended; it may not wait."""
        waiting = self._waiting.get(flow)
        if waiting is not None:
            self._waiting.remove(waiting)

    def decide(self, new_flow: NewFlow, now: float) -> decision.Decision:
        """Decides on a new flow; one that has to wait is in the queue then.

        Args:
            new_flow: The flow, which must not wait already.
            now: The current time, seconds.
        """
        if self._rejections.includes(new_flow.packet.flow, now):
            # A copy of a flow that was reset. It is never placed, as its caller
            # has returned already.
            return decision.Decision(decision.Outcome.REJECT, "copy", {})
        inputs = self._gather_inputs(new_flow, now)
        described = self._describe(inputs)
        reason = self._find_exemption(inputs)
        if reason is None:
            if self._lacks_retry(inputs):
                return self._reject(
                    new_flow, inputs, "retry-budget", described, now
                )
            reason = self._find_room(inputs)
        if reason is not None:
            return decision.Decision(decision.Outcome.ADMIT, reason, described)
        return self._queue(new_flow, inputs, described, now)

    def pop_released(self, now: float) -> waiting_flow.WaitingFlow | None:
        """Removes and returns the next flow that the budget covers.

        The flow has to be placed, and thereby debited, before the next call.
        """
        self._waiting.mark_late(now)
        for service in self._waiting.list_services():
            flow = self._pop_of_service(service, now)
            if flow is not None:
                return flow
        return None

    def pop_expired(
        self, can_reset: bool, now: float
    ) -> waiting_flow.WaitingFlow | None:
        """Removes and returns the next flow that has waited for too long.

        Args:
            can_reset: Whether the flow will be reset, and not just dropped.
            now: The current time, seconds.
        """
        flow = self._waiting.pop_expired(now)
        if flow is not None:
            self._expired_at[flow.service, flow.route.priority] = now
            service_limit.remove_oldest(self._expired_at)
        if flow is not None and can_reset:
            self._record_rejection(flow, now)
        return flow

    def begin_stop(self) -> list[waiting_flow.WaitingFlow]:
        """Removes and returns all waiting flows, and admits all from now on.

        A host that stops can't release flows later.
        """
        self._is_stopping = True
        return [
            self._waiting.pop(service, priority)
            for service in self._waiting.list_services()
            for priority in self._waiting.list_priorities(service)
            for _ in range(self._waiting.count(service, priority))
        ]

    def cancel_start(
        self, route: route_module.Route, service: ids.ServiceName
    ) -> None:
        """Returns the work of an opening that an upstream left unanswered."""
        work_s = self._sources.work.expected_work_s(route.virtual_address)
        self.budget.cancel_start(service, route.priority, work_s)

    def _gather_inputs(self, new_flow: NewFlow, now: float) -> _Inputs:
        route, service = new_flow.route, new_flow.service
        attempt = self._rejections.take_attempt(new_flow.packet.flow, now)
        if attempt == 1:
            self._sources.demand.record_arrival(route.virtual_address, now)
        flow = self._make_waiting_flow(new_flow, attempt, now)
        share = self._sources.room.host_share(service, now)
        self.budget.fill(service, route.priority, flow.cost_s, share, now)
        self._waiting.mark_late(now)
        is_contended = self._sources.room.is_contended(service, now)
        return _Inputs(flow, is_contended, share)

    def _make_waiting_flow(
        self, new_flow: NewFlow, attempt: int, now: float
    ) -> waiting_flow.WaitingFlow:
        route = new_flow.route
        work_s = self._sources.work.expected_work_s(route.virtual_address)
        self._next_sequence += 1
        return waiting_flow.WaitingFlow(
            packet=new_flow.packet,
            route=route,
            service=new_flow.service,
            cost_s=work_s,
            arrived_at=now,
            deadline=now + (route.target_latency_s or 0.0) - work_s,
            expires_at=now + self._settings.max_wait_ms / _MS_PER_S,
            sequence=self._next_sequence,
            attempt=attempt,
            priority=waiting_flow.make_rank(route.priority, attempt > 1),
            call_class=ids.CallClassName(str(new_flow.packet.flow.caller)),
            has_first_packet=new_flow.packet.copy == 0,
        )

    def _find_exemption(self, inputs: _Inputs) -> str | None:
        """Returns why the budget doesn't apply to a flow; None if it does."""
        if self._is_stopping:
            return "stopping"
        if inputs.share <= 0:
            # No upstream is known to be ready, so placement decides.
            return "no-share"
        if not inputs.is_contended and not self._waiting.list_priorities(
            inputs.flow.service
        ):
            return "uncontended"
        return None

    def _lacks_retry(self, inputs: _Inputs) -> bool:
        """Spends a retry for a returning caller; True if there is none."""
        if not inputs.returning or not inputs.is_contended:
            return False
        is_urgent = self.budget.is_most_urgent(inputs.flow.route.priority)
        return not self.retries.spend_retry(is_urgent)

    def _find_room(self, inputs: _Inputs) -> str | None:
        """Returns which budget covers a flow at once; None if none does."""
        flow = inputs.flow
        budget_of = (flow.service, flow.route.priority, flow.cost_s)
        if not self._waiting.has_ahead(flow) and self.budget.has_room(
            *budget_of
        ):
            return "budget"
        if self._waiting.has_ahead_of_priority(flow):
            return None
        # Flows whose expected wait is too long never wait. The reserve admits
        # some of them on arrival, or a low priority could get nothing at all.
        if self.budget.has_reserve(*budget_of):
            self.budget.spend_reserve(*budget_of)
            return "reserve"
        return None

    def _queue(
        self,
        new_flow: NewFlow,
        inputs: _Inputs,
        described: dict[str, object],
        now: float,
    ) -> decision.Decision:
        """Lets a flow wait if it is likely to be released in time."""
        flow = inputs.flow
        pressure = self._measure_pressure(inputs, now)
        described["ahead_s"] = round(pressure.ahead_s, 4)
        described["rate"] = round(pressure.slots, 4)
        described["expected_wait_s"] = round(
            pressure.expected_finish_s - flow.cost_s, 4
        )
        described["limit_s"] = round(pressure.time_left_s - flow.cost_s, 4)
        if not self._policy.admits(pressure) or self._has_recent_expiry(
            flow, now
        ):
            return self._reject(
                new_flow, inputs, "expected-wait", described, now
            )
        displaced = self._waiting.add(flow)
        if displaced is flow:
            return self._reject(new_flow, inputs, "full", described, now)
        if displaced is not None and new_flow.can_reset:
            self._record_rejection(displaced, now)
        return decision.Decision(
            decision.Outcome.WAIT, "expected-wait", described, displaced
        )

    def _measure_pressure(
        self, inputs: _Inputs, now: float
    ) -> admission_policies.Pressure:
        """Returns the load that decides whether a flow may wait.

        The work ahead is what the bucket has to gain until it covers the flows
        ahead and this one. It includes what the bucket owes for requests that
        have started.
        """
        flow = inputs.flow
        demand = self._sources.demand
        priority = flow.route.priority
        left = (
            inputs.share
            - demand.demand_above(flow.service, priority, now)
            - demand.open_flow_demand(flow.service, priority, now)
        )
        least = self._settings.low_priority_share * inputs.share
        limit_s = self._settings.max_wait_ms / _MS_PER_S
        if not inputs.returning:
            limit_s = min(limit_s, flow.deadline - now)
        rate = max(left, least, _MIN_RATE)
        level_s = self.budget.get_level_s(flow.service, priority)
        own_s = flow.cost_s - level_s
        waiting_s = self._waiting.compute_work_ahead_s(
            flow, enough_s=limit_s * rate - own_s + _MIN_EXCESS_S
        )
        ahead_s = max(0.0, waiting_s + own_s)
        return admission_policies.Pressure(
            slots=rate,
            free_slots=0,
            time_left_s=limit_s + flow.cost_s,
            cost_s=flow.cost_s,
            running_s=0.0,
            ahead_s=ahead_s,
            queued_s=ahead_s,
        )

    def _has_recent_expiry(
        self, flow: waiting_flow.WaitingFlow, now: float
    ) -> bool:
        """Returns whether late flows of a priority have recently expired.

        The expected wait of a late flow doesn't include the flows that arrive
        after it and still can be answered in time, which go first.
        """
        if not flow.is_late:
            return False
        key = (flow.service, flow.route.priority)
        return now - self._expired_at.get(key, -math.inf) < _EXPIRY_MEMORY_S

    def _reject(
        self,
        new_flow: NewFlow,
        inputs: _Inputs,
        reason: str,
        described: dict[str, object],
        now: float,
    ) -> decision.Decision:
        if not new_flow.can_reset:
            return decision.Decision(
                decision.Outcome.ADMIT, "old-state", described
            )
        self._record_rejection(inputs.flow, now)
        return decision.Decision(decision.Outcome.REJECT, reason, described)

    def _record_rejection(
        self, flow: waiting_flow.WaitingFlow, now: float
    ) -> None:
        if not flow.has_first_packet:
            # It is not reset, so its next copy is decided anew.
            return
        self._rejections.record(flow.packet.flow, flow.attempt, now)

    def _pop_of_service(
        self, service: ids.ServiceName, now: float
    ) -> waiting_flow.WaitingFlow | None:
        """Removes and returns the next flow of a service that may start."""
        share = self._sources.room.host_share(service, now)
        for rank, priority in enumerate(self._waiting.list_priorities(service)):
            flow = self._waiting.peek(service, priority)
            self.budget.fill(service, priority, flow.cost_s, share, now)
            budget_of = (service, priority, flow.cost_s)
            if share <= 0 or (rank == 0 and self.budget.has_room(*budget_of)):
                return self._waiting.pop(service, priority)
            if self.budget.has_reserve(*budget_of):
                self.budget.spend_reserve(*budget_of)
                return self._waiting.pop(service, priority)
        return None

    def _describe(self, inputs: _Inputs) -> dict[str, object]:
        flow = inputs.flow
        level_s = self.budget.get_level_s(flow.service, flow.route.priority)
        return {
            "service": flow.service,
            "contended": inputs.is_contended,
            "share": round(inputs.share, 4),
            "level_s": round(level_s, 4),
            "work_s": round(flow.cost_s, 4),
            "returning": inputs.returning,
            "waiting": len(self._waiting),
        }
