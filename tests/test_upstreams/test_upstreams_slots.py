"""Tests of slots, their queue and slow start."""

from __future__ import annotations

import random
from typing import Any

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import store as stores
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import job as jobs
from persimmonhinge.upstreams import slots as slot_parts
from persimmonhinge.upstreams import slow_start
from persimmonhinge.upstreams import target as targets
from tests.support import trios
from tests.test_upstreams import scene

_NOT_RUN = work.Outcome.NOT_RUN


class Bench:
    """Slots of one upstream, with jobs that end when a test says so."""

    def __init__(
        self, begun_at: float | None = None, slots: int = 2, **limits: Any
    ) -> None:
        self.contract = scene.make_contract(
            {"u1": 9}, limits=limits, upstream={"slots": slots}
        )
        self.started: list[jobs.Job] = []
        target = targets.Target(
            stores.ContractEntry(self.contract, ids.Revision(1)),
            self.contract.upstreams[0],
        )
        self.slots = slot_parts.Slots(
            target,
            slow_start.SlowStart(begun_at),
            self.started.append,
            random.Random(1),
        )
        self._count = 0

    def submit(
        self, name: str = "reservations", deadline_s: float = 1000.0
    ) -> jobs.Job:
        """Submits a job of a class."""
        self._count += 1
        job = scene.make_job(self.contract, name, self._count, deadline_s)
        self.slots.submit(job)
        return job

    def end_first(self) -> None:
        """Ends the job that was started first of those that run."""
        job = next(j for j in self.started if j in self.slots.running)
        job.finish(work.Dispatched(work.Outcome.ANSWERED))
        self.slots.release(job)


@trios.clock_test
async def test_cold_upstream_gets_its_slots_little_by_little() -> None:
    bench = Bench(trio.current_time(), slots=4, slow_start_s=8)
    for _ in range(6):
        bench.submit()
    counts = []
    for _ in range(9):
        bench.slots.fill()
        counts.append(len(bench.started))
        await trio.sleep(1)
    assert counts == [1, 1, 1, 1, 2, 2, 3, 3, 4]


@trios.clock_test
async def test_newcomer_of_a_contract_is_cold_and_the_rest_is_warm() -> None:
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
async def test_full_queue_gives_way_to_more_urgent_work() -> None:
    """The queue is full of manifests when a reservation comes.

    Refusing it would put the least valuable calls first.
    """
    bench = Bench(queue=5)
    for _ in range(2):
        bench.submit()
    manifests = [bench.submit("manifests") for _ in range(5)]
    reservations = [bench.submit() for _ in range(5)]
    refused = [job for job in manifests if job.state is jobs.JobState.DONE]
    assert refused == manifests[1:]
    assert all(job.outcome.outcome is _NOT_RUN for job in refused)
    # One place of five is the share of manifests.
    assert manifests[0].state is jobs.JobState.WAITING
    last = reservations[-1]
    assert last.outcome.outcome is _NOT_RUN
    assert last.outcome.retry_after_s > 0


@trios.clock_test
async def test_request_that_can_not_be_served_in_time_is_refused() -> None:
    bench = Bench()
    bench.slots.costs.note(ids.CallClassName("reservations"), 1.0)
    for _ in range(2):
        bench.submit()
    in_time = bench.submit(deadline_s=2.0)
    too_late = bench.submit(deadline_s=1.2)
    assert in_time.state is jobs.JobState.WAITING
    assert too_late.outcome.outcome is _NOT_RUN
    assert too_late.outcome.retry_after_s >= 1


@trios.clock_test
async def test_job_whose_deadline_passed_in_the_queue_is_not_started() -> None:
    bench = Bench()
    for _ in range(2):
        bench.submit()
    waiting = bench.submit(deadline_s=1.0)
    await trio.sleep(2)
    bench.end_first()
    assert waiting.outcome.outcome is _NOT_RUN
    assert len(bench.started) == 2


@trios.clock_test
async def test_nothing_starts_for_a_moment_after_work_was_shed() -> None:
    bench = Bench()
    bench.slots.pause()
    bench.submit()
    assert not bench.started
    await trio.sleep(0.2)
    bench.slots.fill()
    assert len(bench.started) == 1


_STEPS = strategies.lists(
    strategies.sampled_from(
        ("reservations", "manifests", "reads", "end", "withdraw")
    ),
    max_size=60,
)


@hypothesis.given(steps=_STEPS, count=strategies.integers(1, 4))
@trios.clock_test
async def test_slots_are_never_exceeded_and_never_idle_while_work_waits(
    steps: list[str], count: int
) -> None:
    bench = Bench(slots=count, queue=6)
    submitted: list[jobs.Job] = []
    for step in steps:
        if step == "withdraw":
            waiting = [
                job
                for job in submitted
                if job.state is jobs.JobState.WAITING and job.withdraw
            ]
            if waiting and waiting[0].withdraw:
                waiting[0].withdraw()
        elif step == "end":
            if bench.slots.running:
                bench.end_first()
        else:
            submitted.append(bench.submit(step))
        assert bench.slots.busy <= count
        assert bench.slots.queued <= 6
        assert bench.slots.busy == count or not bench.slots.queued
    await trio.lowlevel.checkpoint()
    ended = [j for j in submitted if j.state is jobs.JobState.DONE]
    kept = bench.slots.queued + len(bench.slots.running)
    assert len(ended) + kept == len(submitted)
