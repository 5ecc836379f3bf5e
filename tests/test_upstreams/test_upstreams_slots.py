"""Tests of slots, their queue and slow start."""

from __future__ import annotations

import random
from typing import Any

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import slots as slots_module
from persimmonhinge.upstreams import slow_start
from persimmonhinge.upstreams import target as target_module
from tests.support import trios
from tests.test_upstreams import scene

_NOT_RUN = work.Outcome.NOT_RUN


class SlotsHarness:
    """Slots of one upstream whose jobs end on request of a test."""

    def __init__(
        self, started_at: float | None = None, slots: int = 2, **limits: Any
    ) -> None:
        self.contract = scene.make_contract(
            {"u1": 9}, limits=limits, upstream={"slots": slots}
        )
        self.started: list[job_module.Job] = []
        target = target_module.Target(
            store.ContractEntry(self.contract, ids.Revision(1)),
            self.contract.upstreams[0],
        )
        self.slots = slots_module.Slots(
            target,
            slow_start.SlowStart(started_at),
            self.started.append,
            random.Random(1),
        )
        self._count = 0

    def submit(
        self, name: str = "reservations", deadline_s: float = 1000.0
    ) -> job_module.Job:
        """Submits a job of a call class."""
        self._count += 1
        job = scene.make_job(self.contract, name, self._count, deadline_s)
        self.slots.submit(job)
        return job

    def finish_first_running(self) -> None:
        """Finishes the running job that was started first."""
        job = next(j for j in self.started if j in self.slots.running)
        job.finish(work.Dispatched(work.Outcome.ANSWERED))
        self.slots.release(job)


@trios.clock_test
async def test_usable_slots_increase_while_upstream_warms_up() -> None:
    harness = SlotsHarness(trio.current_time(), slots=4, slow_start_s=8)
    for _ in range(6):
        harness.submit()
    counts = []
    for _ in range(9):
        harness.slots.start_queued_jobs()
        counts.append(len(harness.started))
        await trio.sleep(1)
    assert counts == [1, 1, 1, 1, 2, 2, 3, 3, 4]


@trios.clock_test
async def test_only_upstreams_added_to_a_contract_start_slowly() -> None:
    async with scene.open_scene() as here:
        ports = {"u1": 9}
        here.store.offer(scene.make_record(scene.make_contract(ports), 1))
        await trio.sleep(1)
        ports["u2"] = 10
        here.store.offer(scene.make_record(scene.make_contract(ports), 2))
        await trio.sleep(1)
        loads = {load.upstream: load.slots for load in here.keeper.list_loads()}
        assert loads == {"floor-trading/u1": 2, "floor-trading/u2": 1}


@trios.clock_test
async def test_full_queue_evicts_less_urgent_jobs() -> None:
    """A full queue must not refuse a request that is more urgent.

    The queue is full of manifests when reservations arrive, which have a
    higher priority.
    """
    harness = SlotsHarness(queue=5)
    for _ in range(2):
        harness.submit()
    manifests = [harness.submit("manifests") for _ in range(5)]
    reservations = [harness.submit() for _ in range(5)]
    refused = [
        job for job in manifests if job.state is job_module.JobState.DONE
    ]
    assert refused == manifests[1:]
    assert all(job.outcome.outcome is _NOT_RUN for job in refused)
    # The share of manifests is one of the five places in the queue.
    assert manifests[0].state is job_module.JobState.WAITING
    last = reservations[-1]
    assert last.outcome.outcome is _NOT_RUN
    assert last.outcome.retry_after_s > 0


@trios.clock_test
async def test_request_that_would_miss_its_deadline_is_refused() -> None:
    harness = SlotsHarness()
    harness.slots.costs.record_run(ids.CallClassName("reservations"), 1.0)
    for _ in range(2):
        harness.submit()
    in_time = harness.submit(deadline_s=2.0)
    too_late = harness.submit(deadline_s=1.2)
    assert in_time.state is job_module.JobState.WAITING
    assert too_late.outcome.outcome is _NOT_RUN
    assert too_late.outcome.retry_after_s >= 1


@trios.clock_test
async def test_job_whose_deadline_passed_in_the_queue_is_not_started() -> None:
    harness = SlotsHarness()
    for _ in range(2):
        harness.submit()
    waiting = harness.submit(deadline_s=1.0)
    await trio.sleep(2)
    harness.finish_first_running()
    assert waiting.outcome.outcome is _NOT_RUN
    assert len(harness.started) == 2


@trios.clock_test
async def test_no_job_starts_during_the_pause_after_a_refusal() -> None:
    harness = SlotsHarness()
    harness.slots.pause()
    harness.submit()
    assert not harness.started
    await trio.sleep(0.2)
    harness.slots.start_queued_jobs()
    assert len(harness.started) == 1


_STEPS = strategies.lists(
    strategies.sampled_from(
        ("reservations", "manifests", "reads", "end", "withdraw")
    ),
    max_size=60,
)


@hypothesis.given(steps=_STEPS, count=strategies.integers(1, 4))
@trios.clock_test
async def test_slots_are_never_exceeded_and_never_idle_while_jobs_are_queued(
    steps: list[str], count: int
) -> None:
    harness = SlotsHarness(slots=count, queue=6)
    submitted: list[job_module.Job] = []
    for step in steps:
        if step == "withdraw":
            waiting = [
                job
                for job in submitted
                if job.state is job_module.JobState.WAITING and job.withdraw
            ]
            if waiting and waiting[0].withdraw:
                waiting[0].withdraw()
        elif step == "end":
            if harness.slots.running:
                harness.finish_first_running()
        else:
            submitted.append(harness.submit(step))
        assert harness.slots.busy <= count
        assert harness.slots.queued <= 6
        assert harness.slots.busy == count or not harness.slots.queued
    await trio.lowlevel.checkpoint()
    ended = [j for j in submitted if j.state is job_module.JobState.DONE]
    unfinished = harness.slots.queued + len(harness.slots.running)
    assert len(ended) + unfinished == len(submitted)
