"""Variants of a host with overload control, each without one mechanism."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.ablation import mechanism
from benchmarks.ablation import variants as variants_module
from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge import registry
from persimmonhinge.forwarding.decisions.admission import waiting_flow
from persimmonhinge.forwarding.decisions.pace import retry_budget
from tests.test_forwarding import scene as scenes

_ANY_CALLER = ids.CallClassName("any")
_ANY_PRIORITY = 1

variants: registry.Registry[variants_module.Variant] = registry.Registry(
    "mechanism"
)


@variants.register("admission by priority")
def admit_all(host: scenes.Scene) -> None:
    """Places each new flow at once."""
    mechanism.replace(host.forwarder, "_gate", None)
    mechanism.replace(host.forwarder, "_budget", retry_budget.RetryBudget())


@variants.register("waiting queue")
def never_wait(host: scenes.Scene) -> None:
    """Rejects each new flow that the budget does not cover at once."""
    waiting = mechanism.read(_get_admission(host), "_waiting")
    mechanism.replace(waiting, "_max_flows", 0)


@variants.register("reserve for low priorities")
def reserve_nothing(host: scenes.Scene) -> None:
    """Leaves nothing to lower priorities that higher ones can use."""
    admission = _get_admission(host)
    settings = mechanism.read(admission, "_settings")
    mechanism.replace(
        admission, "_settings", records.replace(settings, low_priority_share=0)
    )
    budget = mechanism.read(admission, "budget")
    mechanism.replace(budget, "_low_priority_share", 0.0)


@variants.register("reports of demand")
def ignore_demand_reports(host: scenes.Scene) -> None:
    """Knows its own demand alone."""
    assert host.overload is not None
    mechanism.replace(
        host.overload.picture, "record_report", mechanism.do_nothing
    )


@variants.register("returning callers")
def take_all_as_new(host: scenes.Scene) -> None:
    """Treats a caller that was rejected as one that comes first."""

    def take_attempt(*_: object) -> int:
        return 1

    rejections = mechanism.read(_get_admission(host), "_rejections")
    mechanism.replace(rejections, "take_attempt", take_attempt)


@variants.register("fairness between callers")
def ignore_callers(host: scenes.Scene) -> None:
    """Orders the flows of a priority by lateness and deadline."""
    _change_flows(host, _ignore_caller)


@variants.register("fairness and lateness (FIFO)")
def keep_arrival_order(host: scenes.Scene) -> None:
    """Orders the flows of a priority by arrival.

    The deadlines of a route are in order of arrival, and each priority has one
    route in the scenario.
    """

    def change(flow: waiting_flow.WaitingFlow) -> None:
        _ignore_caller(flow)
        flow.priority = waiting_flow.make_rank(flow.route.priority, False)

    _change_flows(host, change)
    waiting = mechanism.read(_get_admission(host), "_waiting")
    mechanism.replace(waiting, "mark_late", mechanism.do_nothing)


@variants.register("priorities (shares by caller)")
def ignore_priorities(host: scenes.Scene) -> None:
    """Shares among callers alone, with one budget for all priorities."""
    state = host.knowledge.state
    assert state is not None
    routes = {
        address: records.replace(route, priority=_ANY_PRIORITY)
        for address, route in state.routes.items()
    }
    changed = records.replace(state, version=state.version + 1, routes=routes)
    host.knowledge.apply_state(changed, "test")


@variants.register("priorities and fairness")
def ignore_priorities_and_callers(host: scenes.Scene) -> None:
    """Has one queue and budget for all, by lateness and deadline."""
    ignore_priorities(host)
    ignore_callers(host)


def _get_admission(host: scenes.Scene) -> object:
    assert host.overload is not None
    return mechanism.read(host.overload.gate, "_admission")


def _ignore_caller(flow: waiting_flow.WaitingFlow) -> None:
    flow.call_class = _ANY_CALLER


def _change_flows(
    host: scenes.Scene, change: Callable[[waiting_flow.WaitingFlow], None]
) -> None:
    """Changes each new flow before a decision is made on it."""
    admission = _get_admission(host)
    make = mechanism.read(admission, "_make_waiting_flow")

    def make_changed(*arguments: object) -> waiting_flow.WaitingFlow:
        flow: waiting_flow.WaitingFlow = make(*arguments)
        change(flow)
        return flow

    mechanism.replace(admission, "_make_waiting_flow", make_changed)
