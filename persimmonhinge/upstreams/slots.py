"""The slots of one upstream and the queue of jobs for them."""

from __future__ import annotations

from collections.abc import Callable
import functools
import math
import random

import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from persimmonhinge.policies import admission
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import order
from persimmonhinge.upstreams import costs
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import slow_start as slow_start_module
from persimmonhinge.upstreams import target as target_module

# Lower bound of the share of slots that remains for a call class after the
# guaranteed shares of other classes are subtracted.
_MIN_UNRESERVED_SHARE = 0.1
_SHED_PAUSE_S = 0.1
# Allows for varying run times and for the transmission of the answer.
_RUN_TIME_MARGIN = 1.5


class Slots:
    """Starts jobs at an upstream, never more at a time than it has slots.

    Attributes:
        running: Jobs that run at the upstream, including cancelled ones.
        costs: Run times of jobs per call class.
    """

    def __init__(
        self,
        target: target_module.Target,
        slow_start: slow_start_module.SlowStart,
        start_job: Callable[[job_module.Job], None],
        randomness: random.Random,
    ) -> None:
        """Makes the slots of an upstream.

        Args:
            target: The upstream.
            slow_start: Limits the slots of an upstream that is warming up.
            start_job: Starts a job at the upstream.
            randomness: Spreads the retry delays of refused callers.
        """
        self.running: set[job_module.Job] = set()
        self.costs = costs.Costs()
        self._target = target
        self._slow_start = slow_start
        self._start_job = start_job
        self._randomness = randomness
        policies = target.entry.contract.policies
        self._queue = order.make_queue(policies.order)
        self._admission = admission.make_admission_policy(policies.admission)
        self._paused_until = 0.0
        self._former_keeper_requests: dict[ids.HostRef, tuple[int, float]] = {}

    @property
    def queued(self) -> int:
        """Number of jobs in the queue."""
        return len(self._queue)

    @property
    def busy(self) -> int:
        """Number of requests at the upstream, including a former keeper's."""
        now = trio.current_time()
        former_keeper_count = sum(
            count
            for count, expires_at in self._former_keeper_requests.values()
            if expires_at > now
        )
        return len(self.running) + former_keeper_count

    def count_usable(self) -> int:
        """Returns the number of slots that may be used now, at least 1."""
        return self._slow_start.count_slots(
            self._target.upstream.slots,
            self._target.limits.slow_start_s,
            trio.current_time(),
        )

    def update(self, target: target_module.Target) -> None:
        """Applies a new revision of the contract."""
        former = self._target.entry.contract.policies
        policies = target.entry.contract.policies
        self._target = target
        if policies.order != former.order:
            waiting = list(self._queue)
            self._queue = order.make_queue(policies.order)
            for job in waiting:
                self._queue.push(job)
        if policies.admission != former.admission:
            self._admission = admission.make_admission_policy(
                policies.admission
            )
        self.start_queued_jobs()

    def submit(self, job: job_module.Job) -> None:
        """Queues or starts a job, or finishes it at once as busy or not run."""
        job.cost_s = self.costs.estimate(job.call_class)
        pressure = self._measure_pressure(job)
        if not job.dispatch.waits and not self._can_start_now(pressure):
            job.finish(work.Dispatched(work.Outcome.BUSY))
            return
        if not self._admit(job, pressure):
            retry_s = admission.choose_retry_delay_s(pressure, self._randomness)
            job.finish(_make_refusal("overloaded", retry_s))
            return
        job.withdraw = functools.partial(self._withdraw, job)
        self._queue.push(job)
        self.start_queued_jobs()

    def finish_queued_jobs(self, outcome: work.Dispatched) -> None:
        """Finishes all queued jobs with the given outcome."""
        for job in list(self._queue):
            assert isinstance(job, job_module.Job)
            self._queue.discard(job)
            job.finish(outcome)

    def release(self, job: job_module.Job) -> None:
        """Frees the slot of a job that no longer runs at the upstream."""
        self.running.discard(job)
        self.start_queued_jobs()

    def set_former_keeper_requests(
        self, former_keeper: ids.HostRef, count: int, expires_at: float
    ) -> None:
        """Sets the number of requests of a former keeper that still run.

        Prevents more requests at the upstream than it has slots when the
        role of keeper moves: requests of the former keeper still run there.
        They occupy slots until the former keeper reports that they ended,
        or until `expires_at` in case it can no longer report.
        """
        if count <= 0:
            self._former_keeper_requests.pop(former_keeper, None)
        else:
            self._former_keeper_requests[former_keeper] = (count, expires_at)
        self.start_queued_jobs()

    def start_queued_jobs(self) -> None:
        """Starts queued jobs while slots are free.

        It has to be called regularly: slots also become free as time passes,
        without any other event.
        """
        if trio.current_time() < self._paused_until:
            return
        while len(self._queue) and self.busy < self.count_usable():
            job = self._queue.pop()
            assert isinstance(job, job_module.Job)
            if self._would_miss_deadline(job):
                self._refuse_late_job(job)
                continue
            job.state = job_module.JobState.RUNNING
            self.running.add(job)
            self._start_job(job)

    def _would_miss_deadline(self, job: job_module.Job) -> bool:
        """Returns whether the next job would end after its deadline.

        Prevents slots from being used for answers that no caller waits for
        any more: under overload each request would start just before its
        deadline. The last queued job runs regardless of its expected run
        time, so that an upstream that has become faster is detected.
        """
        left_s = job.deadline - trio.current_time()
        if not len(self._queue):
            return left_s <= 0
        return left_s <= _RUN_TIME_MARGIN * self.costs.estimate(job.call_class)

    def _refuse_late_job(self, job: job_module.Job) -> None:
        """Finishes a job that would end after its deadline, with a retry time.

        Prevents a burst of retries: a caller that gets no retry delay
        retries at once and meets the same queue.
        """
        retry_s = admission.choose_retry_delay_s(
            self._measure_pressure(job), self._randomness
        )
        job.finish(
            _make_refusal("deadline came too near in the queue", retry_s)
        )

    def pause(self) -> None:
        """Starts no jobs for a short time after the upstream refused one.

        Otherwise the upstream could refuse the whole queue at once: it has
        no free capacity although this keeper counts free slots, for instance
        while another host still acts as the keeper.
        """
        self._paused_until = trio.current_time() + _SHED_PAUSE_S

    def _withdraw(self, job: job_module.Job) -> bool:
        if job.state is not job_module.JobState.WAITING:
            return False
        self._queue.discard(job)
        job.finish(_make_refusal("dropped from the queue", 0))
        return True

    def _can_start_now(self, pressure: admission.Pressure) -> bool:
        if len(self._queue) or pressure.free_slots <= 0:
            return False
        return trio.current_time() >= self._paused_until

    def _admit(self, job: job_module.Job, pressure: admission.Pressure) -> bool:
        if not self._admission.admits(pressure):
            return False
        if pressure.free_slots > 0 and not len(self._queue):
            return True
        if len(self._queue) < self._target.limits.queue:
            return True
        return self._evict_less_urgent(job, pressure)

    def _evict_less_urgent(
        self, job: job_module.Job, pressure: admission.Pressure
    ) -> bool:
        """Removes a less urgent job from a full queue to admit another job.

        A call class with a share retains that share of the queue, so that
        it always has queued jobs that can use its share of the slots.

        Returns:
            False if no job could be removed.
        """
        for last in self._queue.list_tails():
            assert isinstance(last, job_module.Job)
            if self._queue.sort_key(last) < self._queue.sort_key(job):
                return False
            reserved_places = math.ceil(last.share * self._target.limits.queue)
            if self._queue.count_queued(last.call_class) <= reserved_places:
                continue
            self._queue.discard(last)
            retry_s = admission.choose_retry_delay_s(pressure, self._randomness)
            last.finish(_make_refusal("gave way to more urgent work", retry_s))
            return True
        return False

    def _measure_pressure(self, job: job_module.Job) -> admission.Pressure:
        usable = self.count_usable()
        busy = self.busy
        running_s = sum(running.cost_s for running in self.running) / 2
        return admission.Pressure(
            slots=usable,
            free_slots=max(0, usable - busy),
            time_left_s=job.deadline - trio.current_time(),
            cost_s=job.cost_s,
            running_s=running_s,
            ahead_s=self._estimate_ahead_s(job),
            queued_s=sum(waiting.cost_s for waiting in self._queue),
        )

    def _estimate_ahead_s(self, job: job_module.Job) -> float:
        ahead = self._queue.list_ahead(job)
        ahead_s = sum(waiting.cost_s for waiting in ahead)
        shares = {
            waiting.call_class: waiting.share
            for waiting in self._queue
            if waiting.call_class != job.call_class
            and waiting.priority > job.priority
        }
        ahead_s /= max(_MIN_UNRESERVED_SHARE, 1 - sum(shares.values()))
        if job.share <= 0:
            return ahead_s
        own_s = sum(
            waiting.cost_s
            for waiting in ahead
            if waiting.call_class == job.call_class
        )
        return min(ahead_s, (own_s + job.cost_s) / job.share)


def _make_refusal(reason: str, retry_after_s: int) -> work.Dispatched:
    return work.Dispatched(
        work.Outcome.NOT_RUN, retry_after_s=retry_after_s, reason=reason
    )
