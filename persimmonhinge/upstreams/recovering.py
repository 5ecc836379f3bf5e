"""Answers what became of the requests of a home that is gone."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed as executed_tables
from persimmonhinge.upstreams import inheritance as inheritances

_Outcome = work.Outcome
_GIVEN_UP = work.Dispatched(
    _Outcome.UNKNOWN, reason="keeper was given up before it ran"
)


class Recovering:
    """Decides about each `Recover`."""

    def __init__(
        self,
        view: views.View,
        executed: executed_tables.ExecutedTable,
        inheritance: inheritances.Inheritance,
        counts: host_counts.Counts,
    ) -> None:
        self._view = view
        self._executed = executed
        self._inheritance = inheritance
        self._counts = counts

    async def handle(
        self, caller: networks.Caller, question: work.Recover
    ) -> work.Dispatched:
        """Returns the kept answer, waits for a running one, or fences."""
        if not self._answers_for(question.keeper):
            return work.Dispatched(
                _Outcome.NOT_KEEPER, reason="is another incarnation"
            )
        outcome = await self._recover(question)
        if outcome.outcome is _Outcome.NOT_RUN and self._inheritance.is_own(
            question.keeper
        ):
            outcome = _GIVEN_UP
        self._counts.add(
            "keeper_recovered_total", outcome=outcome.outcome.value
        )
        return outcome

    async def _recover(self, question: work.Recover) -> work.Dispatched:
        while True:
            found = self._executed.recover(question)
            if isinstance(found, work.Dispatched):
                return found
            if found.job is None:
                assert found.outcome is not None
                return found.outcome
            outcome = await found.job.wait()
            if outcome.outcome in (_Outcome.ANSWERED, _Outcome.UNKNOWN):
                return outcome
            # It was refused after all. Ask again, so that it is fenced
            # before it is declared not run.

    def _answers_for(self, keeper: ids.HostRef) -> bool:
        if keeper in (ids.HostRef(0), self._view.self_member.ref):
            return True
        return self._inheritance.has(keeper)
