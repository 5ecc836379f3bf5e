"""Answers recovery queries about the requests of a failed home."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import former_keepers as former_keepers_module

_Outcome = work.Outcome
# The keeper took a new incarnation before the request ran.
_FORMER_INCARNATION_OUTCOME = work.Dispatched(
    _Outcome.UNKNOWN, reason="keeper was given up before it ran"
)


class RecoverHandler:
    """Answers each `Recover` query."""

    def __init__(
        self,
        view: view_module.View,
        executed: executed_table.ExecutedTable,
        former_keepers: former_keepers_module.FormerKeepers,
        counts: counts_module.Counts,
    ) -> None:
        self._view = view
        self._executed = executed
        self._former_keepers = former_keepers
        self._counts = counts

    async def handle(
        self, caller: network.Caller, query: work.Recover
    ) -> work.Dispatched:
        """Returns the outcome of a request, or fences the request.

        Waits for the outcome if the request is still queued or running.
        """
        if not self._can_answer_for(query.keeper):
            return work.Dispatched(
                _Outcome.NOT_KEEPER, reason="is another incarnation"
            )
        outcome = await self._find_outcome(query)
        if (
            outcome.outcome is _Outcome.NOT_RUN
            and self._former_keepers.is_own_incarnation(query.keeper)
        ):
            outcome = _FORMER_INCARNATION_OUTCOME
        self._counts.add(
            "keeper_recovered_total", outcome=outcome.outcome.value
        )
        return outcome

    async def _find_outcome(self, query: work.Recover) -> work.Dispatched:
        while True:
            found = self._executed.recover_request(query)
            if isinstance(found, work.Dispatched):
                return found
            if found.job is None:
                assert found.outcome is not None
                return found.outcome
            outcome = await found.job.wait()
            if outcome.outcome in (_Outcome.ANSWERED, _Outcome.UNKNOWN):
                return outcome
            # The request was refused in the end. The table is queried again,
            # so that the request is fenced before it is reported as not run.

    def _can_answer_for(self, keeper: ids.HostRef) -> bool:
        if keeper in (ids.HostRef(0), self._view.self_member.ref):
            return True
        return self._former_keepers.can_answer_for(keeper)
