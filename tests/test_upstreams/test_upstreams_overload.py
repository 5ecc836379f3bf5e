"""Tests of slots under more work than they can do."""

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
    """Slots whose jobs take a time that a test sets."""

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
async def test_slots_are_not_spent_on_answers_that_come_too_late() -> None:
    """Manifests queue until just before their deadline, then run for nothing.

    At twice the capacity the queue holds what has waited longest, so each
    request starts when its caller is about to go. All slots are busy and
    few callers get an answer.
    """
    async with trio.open_nursery() as nursery:
        bench = _SlotsHarness(nursery)
        submitted = []
        for _ in range(160):
            submitted.append(bench.submit(6.0))
            await trio.sleep(_RUN_S / 4)
        await trio.sleep(10)
        answered = [
            job
            for job in submitted
            if job.outcome.outcome is work.Outcome.ANSWERED
        ]
        assert bench.late == 0
        # Two slots for 40 s, and what waited at the end.
        assert len(answered) >= 80
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_callers_that_waited_in_vain_do_not_come_back_together() -> None:
    """Refused callers come back at once and keep the queue full.

    Their requests were dropped from the queue because the deadline came
    too near, and they were told to wait for no time at all.
    """
    async with trio.open_nursery() as nursery:
        bench = _SlotsHarness(nursery)
        first = bench.submit(6.0)
        await first.wait()
        submitted = [bench.submit(4.0) for _ in range(40)]
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
async def test_upstream_that_was_slow_is_tried_again() -> None:
    """An upstream gets no work any more although it has recovered.

    It was so slow that by its usual time no request can meet its deadline;
    without a run nobody learns that this has changed.
    """
    async with trio.open_nursery() as nursery:
        bench = _SlotsHarness(nursery, run_s=20.0)
        await bench.submit(100.0).wait()
        bench.run_s = 0.1
        jobs_ = [bench.submit(5.0) for _ in range(5)]
        for job in jobs_:
            await job.wait()
        assert bench.submit(5.0).state is not job_module.JobState.DONE
        nursery.cancel_scope.cancel()
    outcomes = [job.outcome.outcome for job in jobs_]
    assert work.Outcome.ANSWERED in outcomes
