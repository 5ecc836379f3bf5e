"""An upstream that this host keeps, or kept until lately."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import endpoint as endpoint_parts
from persimmonhinge.upstreams import endpoints as endpoint_sets
from persimmonhinge.upstreams import job as jobs
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import slots as slot_parts
from persimmonhinge.upstreams import slow_start as slow_starts
from persimmonhinge.upstreams import target as targets
from persimmonhinge.upstreams import transfer as transfers
from persimmonhinge.upstreams import transfer_result as results
from persimmonhinge.upstreams import trust as trusts

if TYPE_CHECKING:
    from persimmonhinge.upstreams import feed as feed_parts

logger = logging.getLogger(__name__)

_End = results.TransferEnd
_Outcome = work.Outcome
_Sign = trusts.Sign
_LEAST_DRAIN_S = 5.0
_SERVER_ERROR_CLASS = 5
_MOST_CHECKS = 32
_UNFINISHED = work.Dispatched(
    work.Outcome.UNKNOWN, reason="keeper stopped or failed"
)


class KeptUpstream:
    """Runs jobs at one upstream and knows its state first-hand.

    Attributes:
        target: The upstream and its contract.
        slots: Its slots and queue.
        feeds: Open feeds, those that are being cancelled included.
        open_feeds: Feeds that a home holds open.
        checks: Limits how many silent feeds are checked at a time.
    """

    def __init__(
        self,
        context: contexts.KeeperContext,
        target: targets.Target,
        slow_start: slow_starts.SlowStart,
    ) -> None:
        self.target = target
        self.feeds = 0
        self.open_feeds: set[feed_parts.Feed] = set()
        self.checks = trio.CapacityLimiter(_MOST_CHECKS)
        self.endpoints = endpoint_sets.Endpoints(
            context, target.service, target.upstream.address
        )
        self.slots = slot_parts.Slots(
            target, slow_start, self._start, context.randomness
        )
        self._context = context
        self._trust = trusts.Trust(trio.current_time())
        self._drains_until = 0.0
        self._slow_start = slow_start
        self._was_down = False

    @property
    def accepting(self) -> bool:
        """False while the contract or the upstream says that it leaves."""
        if self.target.is_draining:
            return False
        return trio.current_time() >= self._drains_until

    @property
    def is_idle(self) -> bool:
        """True if nothing is left of it here."""
        return not (self.slots.busy or self.slots.queued or self.feeds)

    def read_load(self) -> work.UpstreamLoad:
        """Returns its state; the name is that of its contract."""
        return work.UpstreamLoad(
            ids.UpstreamId(self.target.upstream.id),
            self.slots.count_usable(),
            self.slots.busy,
            self.slots.queued,
            self.feeds,
            self._trust.service_s * 1000,
            self._trust.read(trio.current_time()),
            self.accepting,
        )

    def update(self, target: targets.Target) -> None:
        """Takes in a new contract."""
        began_again = self.target.is_draining and not target.is_draining
        self.target = target
        if began_again:
            self._drains_until = 0.0
        if not self.accepting:
            self._leave()
        self.slots.update(target)

    def submit(self, job: jobs.Job) -> None:
        """Takes a job in, or finishes it at once as not run."""
        if not self.accepting:
            job.finish(_not_run("upstream drains"))
            return
        self.slots.submit(job)

    def note_shed(self, answer: codec.Message) -> None:
        """Takes in that the upstream refused work or a feed with 5.03."""
        if not shedding.says_drain(answer):
            self._context.counts.add("keeper_sheds_total")
            self._trust.note(_Sign.SHED, trio.current_time())
            self.slots.pause()
            return
        max_age = answer.opt.max_age
        drain_s = max(_LEAST_DRAIN_S, max_age or 0)
        if self.accepting:
            logger.info("Upstream %s says that it drains.", self.target.key)
        self._drains_until = trio.current_time() + drain_s
        self._leave()

    def note_feed_trouble(self) -> None:
        """Takes in that a feed could not be opened for want of an answer."""
        self._trust.note(_Sign.STALLED, trio.current_time())

    def move_feeds(self, cause: messages.FeedEndCause) -> None:
        """Has the homes asked to move all feeds."""
        for feed in self.open_feeds:
            feed.ask_to_move(cause)

    def _leave(self) -> None:
        """Gives the upstream up: nothing new, and its feeds are to move."""
        self.slots.refuse_all(_not_run("upstream drains"))
        self.move_feeds(messages.FeedEndCause.DRAINING)

    def _start(self, job: jobs.Job) -> None:
        self._context.start_soon(self._run, job)

    async def _run(self, job: jobs.Job) -> None:
        endpoint = self.endpoints.get()
        transfer = transfers.Transfer(
            endpoint,
            job.request,
            job.deadline,
            self.target.limits.upstream_timeout_s,
            self._context.timers,
            self._context.randomness,
        )
        job.transfer = transfer
        began_at = trio.current_time()
        try:
            result = await transfer.run()
            self._learn(result, job, began_at)
            self._look_at_socket(result, endpoint, began_at)
            job.finish(_conclude(result))
        except Exception:
            # An answer that no one has thought of must not stop the host.
            logger.exception("Request at %s failed.", self.target.key)
        finally:
            # Counts only if nothing above has ended the job.
            job.finish(_UNFINISHED)
            self.slots.release(job)
            self.endpoints.close_idle()

    def _learn(
        self, result: results.TransferResult, job: jobs.Job, began_at: float
    ) -> None:
        now = trio.current_time()
        if result.end is _End.SHED:
            self.note_shed(result.received)
            return
        if result.end is not _End.ANSWERED:
            self._trust.note(_Sign.STALLED, now)
            self._was_down |= result.end is _End.REFUSED
            if result.end is _End.REFUSED:
                self._doubt_feeds()
            return
        if self._was_down:
            # It is back, most likely as a new process.
            self._was_down = False
            self._slow_start.begun_at = now
        code = result.received.code
        if code == aiocoap.GATEWAY_TIMEOUT:
            # The caller's deadline was short; it says nothing bad.
            return
        if code.class_ == _SERVER_ERROR_CLASS:
            self._trust.note(_Sign.FAILED, now)
            return
        run_s = now - began_at
        slowdown = self.slots.costs.note(job.call_class, run_s)
        self._trust.note(_Sign.ANSWERED, now, run_s, slowdown)

    def _doubt_feeds(self) -> None:
        """Has all feeds checked now: nothing listens at the address."""
        silent_s = self.target.limits.silent_feed_s
        for feed in self.open_feeds:
            feed.doubt(trio.current_time() - silent_s)

    def _look_at_socket(
        self,
        result: results.TransferResult,
        endpoint: endpoint_parts.Endpoint,
        began_at: float,
    ) -> None:
        if result.end is _End.UNKNOWN:
            self.endpoints.report_silence(endpoint, began_at)


def _conclude(result: results.TransferResult) -> work.Dispatched:
    if result.end is _End.ANSWERED:
        answer = requests.write_answer(result.received)
        return work.Dispatched(_Outcome.ANSWERED, answer)
    if result.end is _End.UNKNOWN:
        return work.Dispatched(_Outcome.UNKNOWN, reason=result.reason)
    return work.Dispatched(
        _Outcome.NOT_RUN,
        retry_after_s=result.retry_after_s,
        reason=result.reason,
    )


def _not_run(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.NOT_RUN, reason=reason)
