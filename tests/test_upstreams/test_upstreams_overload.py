"""Tests of slots under overload."""

from __future__ import annotations

import random

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import slots
from persimmonhinge.upstreams import slow_start
from persimmonhinge.upstreams import target
from tests.support import trios
from tests.test_upstreams import scene

_RUN_S = 1.0


class _SlotsHarness:
    """Slots whose jobs run for a time that a test sets.

    Attributes:
        run_s: Run time of the jobs that start, seconds.
        late: Number of jobs that ended after their deadline.
        ran: Number of jobs that ended.
        slots: The slots under test.
    """

    def __init__(self, nursery: trio.Nursery, run_s: float = _RUN_S) -> None:
        self.run_s = run_s
        self.late = 0
        self.ran = 0
        contract = scene.make_contract(
            {"u1": 9}, policies={"admission": "open"}
        )
        entry = store.ContractEntry(contract, ids.Revision(1))
        self._nursery = nursery
        self._contract = contract
        self.slots = slots.Slots(
            target.Target(entry, contract.upstreams[0]),
            slow_start.SlowStart(None),
            self._start,
            random.Random(1),
        )
        self._count = 0

    def submit(
        self, deadline_s: float, name: str = "reservations"
    ) -> job_module.Job:
        """Submits a job."""
        self._count += 1
        job = scene.make_job(self._contract, name, self._count, deadline_s)
        self.slots.submit(job)
        return job

    def _start(self, job: job_module.Job) -> None:
        self._nursery.start_soon(self._run, job)

    async def _run(self, job: job_module.Job) -> None:
        await trio.sleep(self.run_s)
        self.ran += 1
        self.late += trio.current_time() > job.deadline
        self.slots.costs.record_run(job.call_class, self.run_s)
        job.finish(work.Dispatched(work.Outcome.ANSWERED))
        self.slots.release(job)


@trios.clock_test
async def test_requests_that_would_miss_their_deadline_use_no_slots() -> None:
    """Requests must not start so late that they miss their deadline.

    At twice the capacity, requests wait in the queue until just before their
    deadline. If they started at that time, all slots would be busy, but few
    callers would get an answer in time.
    """
    async with trio.open_nursery() as nursery:
        harness = _SlotsHarness(nursery)
        submitted = []
        for _ in range(160):
            submitted.append(harness.submit(6.0))
            await trio.sleep(_RUN_S / 4)
        await trio.sleep(10)
        answered = [
            job
            for job in submitted
            if job.outcome.outcome is work.Outcome.ANSWERED
        ]
        assert harness.late == 0
        # Two slots run 80 jobs of 1 s in 40 s; queued jobs run after that.
        assert len(answered) >= 80
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_retries_of_late_requests_are_spread() -> None:
    """Callers of late requests must not all retry at once.

    Their requests are removed from the queue because the deadline is too near.
    Without a retry delay in the answer, the callers would retry at once and
    keep the queue full.
    """
    async with trio.open_nursery() as nursery:
        harness = _SlotsHarness(nursery)
        first = harness.submit(6.0)
        await first.wait()
        submitted = [harness.submit(4.0) for _ in range(40)]
        await trio.sleep(10)
        refused = [
            job.outcome.retry_after_s
            for job in submitted
            if job.outcome.outcome is work.Outcome.NOT_RUN
        ]
        assert len(refused) > 20
        assert min(refused) >= 1
        assert len(set(refused)) > 2
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_recovered_upstream_gets_requests_again() -> None:
    """An upstream that has recovered must get requests again.

    It was so slow that no request is expected to meet its deadline. If none
    ran for that reason, its recovery would never be detected.
    """
    async with trio.open_nursery() as nursery:
        harness = _SlotsHarness(nursery, run_s=20.0)
        await harness.submit(100.0).wait()
        harness.run_s = 0.1
        submitted = [harness.submit(5.0) for _ in range(5)]
        for job in submitted:
            await job.wait()
        assert harness.submit(5.0).state is not job_module.JobState.DONE
        nursery.cancel_scope.cancel()
    outcomes = [job.outcome.outcome for job in submitted]
    assert work.Outcome.ANSWERED in outcomes
