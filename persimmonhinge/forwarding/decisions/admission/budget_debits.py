"""Takes the work of the requests that start from the budget of new flows."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import partial_observer
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.forwarding.decisions.admission import budget as budgets
from persimmonhinge.forwarding.decisions.placement import work_source


class BudgetDebits(partial_observer.PartialObserver):
    """Debits a budget for each request, on new and on open flows."""

    def __init__(
        self,
        budget: budgets.WorkBudget,
        knowledge: knowledge_module.Knowledge,
        work: work_source.WorkSource,
    ) -> None:
        """Creates an observer.

        Args:
            budget: The budget.
            knowledge: Routes and upstreams.
            work: Expected work of requests.
        """
        self._budget = budget
        self._knowledge = knowledge
        self._work = work

    def record_start(
        self,
        route: route_module.RouteAddress,
        upstream: ids.UpstreamId,
        is_opening: bool,
        now: float,
    ) -> None:
        """See `request_observer.RequestObserver`."""
        state = self._knowledge.state
        found = state.routes.get(route) if state is not None else None
        known = self._knowledge.directory.get(upstream)
        if found is None or known is None or not found.takes_part:
            return
        work_s = self._work.expected_work_s(route)
        self._budget.record_start(known.service, found.priority, work_s, now)
