"""Serves the requests that homes hand to this keeper."""

from __future__ import annotations

import functools
import itertools

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed as executed_tables
from persimmonhinge.upstreams import job as jobs
from persimmonhinge.upstreams import kept_upstream as kept_parts
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import target as targets
from persimmonhinge.upstreams import upstreams as upstream_sets

# An upstream that keeps the deadline answers just when it passes.
_DEADLINE_MARGIN_S = 0.05

_Outcome = work.Outcome


class Dispatching:
    """Decides about each `Dispatch` and waits for its outcome."""

    def __init__(
        self,
        roles: role_parts.Roles,
        upstreams: upstream_sets.KeptUpstreams,
        executed: executed_tables.ExecutedTable,
        counts: host_counts.Counts,
    ) -> None:
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._counts = counts
        self._numbers = itertools.count()

    async def handle(
        self, caller: networks.Caller, dispatch: work.Dispatch
    ) -> work.Dispatched:
        """Runs a request, joins the running one, or refuses it."""
        outcome = await self._serve(caller, dispatch)
        self._counts.add(
            "keeper_dispatched_total", outcome=outcome.outcome.value
        )
        return outcome

    async def _serve(
        self, caller: networks.Caller, dispatch: work.Dispatch
    ) -> work.Dispatched:
        # No checkpoint from here to the submission of the job, so that two
        # copies of a request can't both pass the check.
        if not dispatch.idempotent:
            known = self._check_executed(dispatch)
            if isinstance(known, work.Dispatched):
                return known
            if known is not None:
                return await self._listen(caller, known)
        target = self._roles.find_target(
            dispatch.service, dispatch.revision, dispatch.upstream
        )
        if target is None:
            return work.Dispatched(
                _Outcome.STALE, reason="contracts differ between hosts"
            )
        if not self._roles.keeps(target):
            keeper = self._roles.find_keeper(target)
            return upstream_sets.refuse_role(keeper.host if keeper else None)
        kept = self._upstreams.get(target)
        job = self._make_job(dispatch, target)
        if isinstance(job, work.Dispatched):
            return job
        if not dispatch.idempotent:
            self._executed.begin(dispatch, job)
        kept.submit(job)
        outcome = await self._listen(caller, job)
        return _add_load(outcome, kept)

    def _check_executed(
        self, dispatch: work.Dispatch
    ) -> jobs.Job | work.Dispatched | None:
        if not dispatch.ticket or not dispatch.digest:
            return _refuse("work that runs once needs a ticket")
        known = self._executed.check(dispatch)
        if known is None or isinstance(known, work.Dispatched):
            return known
        self._counts.add("keeper_duplicates_total")
        return known.job or known.outcome

    def _make_job(
        self, dispatch: work.Dispatch, target: targets.Target
    ) -> jobs.Job | work.Dispatched:
        call_class = target.entry.contract.get_class(dispatch.call_class)
        if call_class is None:
            return work.Dispatched(
                _Outcome.STALE, reason="call class is not in the contract"
            )
        try:
            request = requests.decode_request(dispatch.request, target.service)
        except errors.MalformedDatagramError as error:
            return _refuse(str(error))
        return jobs.Job(
            dispatch,
            request,
            call_class,
            trio.current_time() + dispatch.deadline_ms / 1000,
            next(self._numbers),
        )

    async def _listen(
        self, caller: networks.Caller, job: jobs.Job
    ) -> work.Dispatched:
        """Returns the outcome of a job, unless the home goes away first."""
        job.listeners += 1
        try:
            if job.state is not jobs.JobState.DONE:
                await self._wait(caller, job)
        finally:
            job.listeners -= 1
        if job.state is jobs.JobState.DONE:
            return job.outcome
        return self._give_up(job)

    async def _wait(self, caller: networks.Caller, job: jobs.Job) -> None:
        with trio.move_on_at(job.deadline + _DEADLINE_MARGIN_S) as scope:
            look = functools.partial(_cancel_when_gone, caller, scope)
            caller.watch(look)
            look()
            await job.wait()

    def _give_up(self, job: jobs.Job) -> work.Dispatched:
        """Drops a job that nobody waits for any more.

        Work that runs at most once is left alone while it runs: its answer
        is kept for a home that asks again.
        """
        if job.listeners == 0 and self._cancel(job):
            return job.outcome
        return work.Dispatched(
            _Outcome.UNKNOWN, reason="still running at the deadline"
        )

    def _cancel(self, job: jobs.Job) -> bool:
        """Cancels a job as far as that is safe.

        Returns:
            True if it is done now: it did not run and will not.
        """
        if job.withdraw is not None and job.withdraw():
            return True
        transfer = job.transfer
        if transfer is None:
            return False
        if transfer.may_run and not job.dispatch.idempotent:
            return False
        transfer.abandon()
        if not transfer.may_run:
            job.finish(_refuse("upload was cut off"))
        return not transfer.may_run


def _cancel_when_gone(caller: networks.Caller, scope: trio.CancelScope) -> None:
    """Cancels a scope if the home has cancelled or its link is lost."""
    try:
        while (message := caller.take()) is not None:
            if isinstance(message, work.CancelDispatch):
                scope.cancel()
    except errors.PeerLinkLostError:
        scope.cancel()


def _add_load(
    outcome: work.Dispatched, kept: kept_parts.KeptUpstream
) -> work.Dispatched:
    return msgspec.structs.replace(outcome, load=kept.read_load())


def _refuse(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.NOT_RUN, reason=reason)
