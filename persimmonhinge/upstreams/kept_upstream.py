"""An upstream whose keeper is or recently was this host."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import endpoint as endpoint_module
from persimmonhinge.upstreams import endpoints
from persimmonhinge.upstreams import health_score
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import slots
from persimmonhinge.upstreams import slow_start as slow_start_module
from persimmonhinge.upstreams import target as target_module
from persimmonhinge.upstreams import transfer as transfer_module
from persimmonhinge.upstreams import transfer_result

if TYPE_CHECKING:
    from persimmonhinge.upstreams import feed as feed_module

logger = logging.getLogger(__name__)

_Status = transfer_result.TransferStatus
_Outcome = work.Outcome
_Signal = health_score.HealthSignal
_MIN_DRAIN_S = 5.0
_SERVER_ERROR_CLASS = 5
_MAX_CONCURRENT_CHECKS = 32
_UNFINISHED = work.Dispatched(
    work.Outcome.UNKNOWN, reason="keeper stopped or failed"
)


class KeptUpstream:
    """Runs jobs at one upstream and tracks its state.

    The state is derived from the results of requests of this host alone.

    Attributes:
        target: The upstream and its contract.
        slots: Its slots and queue.
        feed_count: Number of feeds, including those that are being cancelled.
        open_feeds: Feeds that are open for a home at present.
        check_limiter: Limits the number of concurrent checks of silent feeds.
        endpoints: Its sockets.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        target: target_module.Target,
        slow_start: slow_start_module.SlowStart,
    ) -> None:
        self.target = target
        self.feed_count = 0
        self.open_feeds: set[feed_module.Feed] = set()
        self.check_limiter = trio.CapacityLimiter(_MAX_CONCURRENT_CHECKS)
        self.endpoints = endpoints.Endpoints(
            context, target.service, target.upstream.address
        )
        self.slots = slots.Slots(
            target, slow_start, self._start_job, context.randomness
        )
        self._context = context
        self._health = health_score.HealthScore(trio.current_time())
        self._draining_until = 0.0
        self._slow_start = slow_start
        self._was_down = False

    @property
    def is_accepting(self) -> bool:
        """False while the contract or the upstream announces a drain."""
        if self.target.is_draining:
            return False
        return trio.current_time() >= self._draining_until

    @property
    def is_idle(self) -> bool:
        """True if it has no requests, queued jobs or feeds on this host."""
        return not (self.slots.busy or self.slots.queued or self.feed_count)

    def read_load(self) -> work.UpstreamLoad:
        """Returns its load; the upstream id is the one of its contract."""
        return work.UpstreamLoad(
            ids.UpstreamId(self.target.upstream.id),
            self.slots.count_usable(),
            self.slots.busy,
            self.slots.queued,
            self.feed_count,
            self._health.service_time_s * 1000,
            self._health.read(trio.current_time()),
            self.is_accepting,
        )

    def update(self, target: target_module.Target) -> None:
        """Applies a new revision of the contract."""
        ends_drain = self.target.is_draining and not target.is_draining
        self.target = target
        if ends_drain:
            self._draining_until = 0.0
        if not self.is_accepting:
            self._stop_accepting()
        self.slots.update(target)

    def submit(self, job: job_module.Job) -> None:
        """Accepts a job, or finishes it at once as not run."""
        if not self.is_accepting:
            job.finish(_make_not_run("upstream drains"))
            return
        self.slots.submit(job)

    def handle_shed(self, answer: codec.Message) -> None:
        """Handles an answer that refused a request or a feed.

        Args:
            answer: The refusal; see `shedding.is_shed`.
        """
        if not shedding.announces_drain(answer):
            self._context.counts.add("keeper_sheds_total")
            self._health.record_signal(_Signal.SHED, trio.current_time())
            self.slots.pause()
            return
        max_age = answer.opt.max_age
        drain_s = max(_MIN_DRAIN_S, max_age or 0)
        if self.is_accepting:
            logger.info(
                "Upstream %s has announced that it drains.", self.target.key
            )
        self._draining_until = trio.current_time() + drain_s
        self._stop_accepting()

    def record_feed_failure(self) -> None:
        """Records that a feed was not opened because no answer came."""
        self._health.record_signal(_Signal.STALLED, trio.current_time())

    def request_feed_moves(self, cause: feeds.FeedEndCause) -> None:
        """Requests the homes to move all open feeds."""
        for feed in self.open_feeds:
            feed.request_move(cause)

    def _stop_accepting(self) -> None:
        """Refuses all queued jobs and requests that all feeds be moved."""
        self.slots.finish_queued_jobs(_make_not_run("upstream drains"))
        self.request_feed_moves(feeds.FeedEndCause.DRAINING)

    def _start_job(self, job: job_module.Job) -> None:
        self._context.start_soon(self._run_job, job)

    async def _run_job(self, job: job_module.Job) -> None:
        endpoint = self.endpoints.get()
        transfer = transfer_module.Transfer(
            endpoint,
            job.request,
            job.deadline,
            self.target.limits.upstream_timeout_s,
            self._context.timers,
            self._context.randomness,
        )
        job.transfer = transfer
        started_at = trio.current_time()
        try:
            result = await transfer.run()
            self._record_result(result, job, started_at)
            self._replace_silent_socket(result, endpoint, started_at)
            job.finish(_make_dispatched(result))
        except Exception:
            # An unexpected answer must not stop the host.
            logger.exception(
                "Error while running a request at upstream %s.", self.target.key
            )
        finally:
            # Has no effect if the job is already finished.
            job.finish(_UNFINISHED)
            self.slots.release(job)
            self.endpoints.close_idle()

    def _record_result(
        self,
        result: transfer_result.TransferResult,
        job: job_module.Job,
        started_at: float,
    ) -> None:
        now = trio.current_time()
        if result.status is _Status.SHED:
            self.handle_shed(result.received)
            return
        if result.status is not _Status.ANSWERED:
            self._health.record_signal(_Signal.STALLED, now)
            self._was_down |= result.status is _Status.REFUSED
            if result.status is _Status.REFUSED:
                self._check_feeds_now()
            return
        if self._was_down:
            # The upstream answers again, most likely as a new process.
            self._was_down = False
            self._slow_start.started_at = now
        code = result.received.code
        if code == aiocoap.GATEWAY_TIMEOUT:
            # The deadline was too short; the upstream is not at fault.
            return
        if code.class_ == _SERVER_ERROR_CLASS:
            self._health.record_signal(_Signal.FAILED, now)
            return
        run_s = now - started_at
        slowdown = self.slots.costs.record_run(job.call_class, run_s)
        self._health.record_signal(_Signal.ANSWERED, now, run_s, slowdown)

    def _check_feeds_now(self) -> None:
        """Requests a check of all open feeds.

        Called when no process listens at the address of the upstream.
        """
        silent_s = self.target.limits.silent_feed_s
        for feed in self.open_feeds:
            feed.request_check(trio.current_time() - silent_s)

    def _replace_silent_socket(
        self,
        result: transfer_result.TransferResult,
        endpoint: endpoint_module.Endpoint,
        started_at: float,
    ) -> None:
        if result.status is _Status.UNKNOWN:
            self.endpoints.replace_if_silent(endpoint, started_at)


def _make_dispatched(result: transfer_result.TransferResult) -> work.Dispatched:
    if result.status is _Status.ANSWERED:
        answer = requests.encode_answer(result.received)
        return work.Dispatched(_Outcome.ANSWERED, answer)
    if result.status is _Status.UNKNOWN:
        return work.Dispatched(_Outcome.UNKNOWN, reason=result.reason)
    return work.Dispatched(
        _Outcome.NOT_RUN,
        retry_after_s=result.retry_after_s,
        reason=result.reason,
    )


def _make_not_run(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.NOT_RUN, reason=reason)
