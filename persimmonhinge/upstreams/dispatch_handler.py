"""Handles the requests that homes dispatch to this keeper."""

from __future__ import annotations

import functools
import itertools

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import kept_upstream
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import roles as roles_module
from persimmonhinge.upstreams import target as target_module
from persimmonhinge.upstreams import upstreams as upstreams_module

# Extra time to wait after the deadline, for the answer of an upstream that
# uses all the time until the deadline.
_ANSWER_GRACE_S = 0.05

_Outcome = work.Outcome


class DispatchHandler:
    """Starts, joins or refuses each `Dispatch` and returns its outcome."""

    def __init__(
        self,
        roles: roles_module.Roles,
        upstreams: upstreams_module.KeptUpstreams,
        executed: executed_table.ExecutedTable,
        counts: counts_module.Counts,
    ) -> None:
        self._roles = roles
        self._upstreams = upstreams
        self._executed = executed
        self._counts = counts
        self._sequence_numbers = itertools.count()

    async def handle(
        self, caller: network.Caller, dispatch: work.Dispatch
    ) -> work.Dispatched:
        """Runs a request, waits for a running copy of it, or refuses it."""
        outcome = await self._process_dispatch(caller, dispatch)
        self._counts.add(
            "keeper_dispatched_total", outcome=outcome.outcome.value
        )
        return outcome

    async def _process_dispatch(
        self, caller: network.Caller, dispatch: work.Dispatch
    ) -> work.Dispatched:
        # There must be no checkpoint between this check and the submission
        # of the job. Otherwise two copies of a request could both pass the
        # check.
        if not dispatch.idempotent:
            existing = self._check_duplicate(dispatch)
            if isinstance(existing, work.Dispatched):
                return existing
            if existing is not None:
                return await self._await_outcome(caller, existing)
        target = self._roles.find_target(
            dispatch.service, dispatch.revision, dispatch.upstream
        )
        if target is None:
            # The contract revisions of home and keeper differ.
            return work.Dispatched(
                _Outcome.STALE, reason="contracts differ between hosts"
            )
        if not self._roles.is_kept_here(target):
            keeper = self._roles.find_keeper(target)
            return upstreams_module.make_not_keeper_outcome(
                keeper.host if keeper else None
            )
        kept = self._upstreams.get_or_create(target)
        job = self._make_job(dispatch, target)
        if isinstance(job, work.Dispatched):
            return job
        if not dispatch.idempotent:
            self._executed.start_request(dispatch, job)
        kept.submit(job)
        outcome = await self._await_outcome(caller, job)
        return _add_load(outcome, kept)

    def _check_duplicate(
        self, dispatch: work.Dispatch
    ) -> job_module.Job | work.Dispatched | None:
        if not dispatch.ticket or not dispatch.digest:
            return _make_not_run("work that runs once needs a ticket")
        existing = self._executed.check_dispatch(dispatch)
        if existing is None or isinstance(existing, work.Dispatched):
            return existing
        self._counts.add("keeper_duplicates_total")
        return existing.job or existing.outcome

    def _make_job(
        self, dispatch: work.Dispatch, target: target_module.Target
    ) -> job_module.Job | work.Dispatched:
        call_class = target.entry.contract.get_class(dispatch.call_class)
        if call_class is None:
            # The keeper's contract lacks the call class.
            return work.Dispatched(
                _Outcome.STALE, reason="call class is not in the contract"
            )
        try:
            request = requests.decode_request(dispatch.request, target.service)
        except errors.MalformedDatagramError as error:
            return _make_not_run(str(error))
        return job_module.Job(
            dispatch,
            request,
            call_class,
            trio.current_time() + dispatch.deadline_ms / 1000,
            next(self._sequence_numbers),
        )

    async def _await_outcome(
        self, caller: network.Caller, job: job_module.Job
    ) -> work.Dispatched:
        """Returns the outcome of a job.

        Stops waiting when the deadline passes, the home cancels the request
        or its link is lost. The job is then cancelled if no other call waits
        for it and cancelling is safe.
        """
        job.waiter_count += 1
        try:
            if job.state is not job_module.JobState.DONE:
                await self._wait_until_deadline(caller, job)
        finally:
            job.waiter_count -= 1
        if job.state is job_module.JobState.DONE:
            return job.outcome
        return self._abandon_job(job)

    async def _wait_until_deadline(
        self, caller: network.Caller, job: job_module.Job
    ) -> None:
        with trio.move_on_at(job.deadline + _ANSWER_GRACE_S) as scope:
            check_call = functools.partial(_cancel_if_call_ended, caller, scope)
            caller.watch(check_call)
            check_call()
            await job.wait()

    def _abandon_job(self, job: job_module.Job) -> work.Dispatched:
        """Cancels a job if no call waits for it any more.

        A non-idempotent request that already runs is not cancelled: its
        answer is stored for a home that sends the request again.
        """
        if job.waiter_count == 0 and self._cancel_job(job):
            return job.outcome
        # The request may still run at the upstream.
        return work.Dispatched(
            _Outcome.UNKNOWN, reason="still running at the deadline"
        )

    def _cancel_job(self, job: job_module.Job) -> bool:
        """Cancels a job, unless it is non-idempotent and may already run.

        Returns:
            True if the request did not run and will not run.
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
            job.finish(_make_not_run("upload was cut off"))
        return not transfer.may_run


def _cancel_if_call_ended(
    caller: network.Caller, scope: trio.CancelScope
) -> None:
    """Cancels a scope if the home cancelled its call or its link is lost."""
    try:
        while (message := caller.take()) is not None:
            if isinstance(message, work.CancelDispatch):
                scope.cancel()
    except errors.PeerLinkLostError:
        scope.cancel()


def _add_load(
    outcome: work.Dispatched, kept: kept_upstream.KeptUpstream
) -> work.Dispatched:
    return msgspec.structs.replace(outcome, load=kept.read_load())


def _make_not_run(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.NOT_RUN, reason=reason)
