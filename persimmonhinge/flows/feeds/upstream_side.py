"""Opening, reading and moving of feeds at upstreams."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import logging
import math

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import broken_links
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import event as event_module
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import refusal
from persimmonhinge.flows.feeds import reports
from persimmonhinge.flows.feeds import search as search_module
from persimmonhinge.flows.feeds import source as source_module
from persimmonhinge.flows.feeds import switchover
from persimmonhinge.flows.feeds import upstream_selector
from persimmonhinge.peers import errors as errors_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds

logger = logging.getLogger(__name__)

# Causes after which the present stream still delivers events until the feed
# has moved.
_MOVE_CAUSES = (
    feeds.FeedEndCause.DRAINING,
    feeds.FeedEndCause.MOVED,
    feeds.FeedEndCause.SILENT,
)

EndFeed = Callable[[feed_module.Feed, bytes, int], None]


class UpstreamSide:
    """Keeps each feed open at an upstream.

    One task runs a feed: it searches for an upstream, reads the events, and
    searches for another upstream when the stream ends. A move from an
    upstream that still serves the feed is made by a second task; the first
    task ends once the feed has switched to the new upstream.

    Attributes:
        selector: Selects the upstreams.
    """

    def __init__(
        self,
        context: feed_context.FeedContext,
        nursery: trio.Nursery,
        callers: caller_side.CallerSide,
        reporter: reports.Reports,
        end_feed: EndFeed,
        remove_feed: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self._nursery = nursery
        self._reports = reporter
        self._end_feed = end_feed
        self._remove_feed = remove_feed
        self.selector = upstream_selector.UpstreamSelector(context)
        self._broken_links = broken_links.BrokenLinks(context)
        self._switchover = switchover.Switchover(
            context, callers, self._handle_switch
        )
        self._permits = trio.Semaphore(limits.MAX_CONCURRENT_MOVES)

    def open(
        self, feed: feed_module.Feed, preferred: port.Choice | None = None
    ) -> None:
        """Starts the search for the first upstream of a feed.

        Args:
            feed: Feed to open.
            preferred: Upstream and keeper that served the feed at its former
                home, if known.
        """
        first = feed.reply is not feed_module.Reply.DONE
        self._start(
            feed, search_module.Search(preferred, awaits_first_answer=first)
        )

    def move(
        self, feed: feed_module.Feed, *, single_round: bool = False
    ) -> bool:
        """Starts to move a feed from an upstream that still serves it.

        Args:
            feed: Feed to move.
            single_round: True to keep the upstream if no other upstream
                accepts the feed in one round of attempts.

        Returns:
            False if the feed is already moving, is closed, or no upstream
            serves it.
        """
        if feed.searching or feed.source is None or feed.closed:
            return False
        tried = frozenset({ids.UpstreamId(feed.source.upstream.id)})
        self._start(
            feed, search_module.Search(tried=tried, single_round=single_round)
        )
        return True

    def report_soon(self, feed: feed_module.Feed) -> None:
        """Reports to the keeper in a task which events the caller was sent."""
        self._nursery.start_soon(self._reports.report, feed)

    def _start(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> None:
        feed.searching = True
        self._nursery.start_soon(self._run_feed, feed, search)

    async def _run_feed(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> None:
        while not feed.closed:
            self._broken_links.prefer_keeper(feed, search)
            resumes = search.preferred is not None
            choice = self.selector.choose(feed, search)
            if choice is None:
                if not await self._wait_for_round(feed, search):
                    return
                continue
            source = self._make_source(feed, choice, resumes=resumes)
            started_at = trio.current_time()
            await self._read(source, search)
            if not source.used:
                _log_attempt(source, trio.current_time() - started_at)
                if self._broken_links.should_retry_keeper(source, search):
                    await trio.sleep(limits.DECLARED_DEAD_RETRY_INTERVAL_S)
                    continue
                if not self._continue_after_failure(feed, search, source):
                    return
                continue
            if feed.closed or feed.source is not None:
                return
            self._broken_links.record_loss(source)
            if feed.searching:
                return
            # The stream that served the feed has ended, and no other task
            # searches for another upstream.
            feed.searching = True
            tried = frozenset({ids.UpstreamId(source.upstream.id)})
            search = search_module.Search(tried=tried)
            self._context.counts.add("feeds_lost_upstream_total")

    def _make_source(
        self, feed: feed_module.Feed, choice: port.Choice, *, resumes: bool
    ) -> source_module.Source:
        return source_module.Source(
            feed,
            choice.upstream,
            choice.keeper,
            choice.keeper_ref,
            trio.CancelScope(),
            resumes,
        )

    def _continue_after_failure(
        self,
        feed: feed_module.Feed,
        search: search_module.Search,
        source: source_module.Source,
    ) -> bool:
        """Records a failed attempt.

        Returns:
            False if the search has ended with a final answer to the caller.
        """
        refusal.record_failure(search, source)
        if not search.awaits_first_answer or not refusal.is_final(
            search.answer
        ):
            return True
        self._end_search(feed, search)
        return False

    async def _wait_for_round(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> bool:
        """Waits until all upstreams may be tried again.

        Returns:
            False if the search has ended.
        """
        if feed.source is not None:
            if search.single_round or not self.selector.must_move(feed.source):
                feed.searching = False
                return False
        elif search.awaits_first_answer and not search.unreachable:
            # All upstreams refused the feed. The caller awaits its first
            # answer and gets it without a further round.
            self._end_search(feed, search)
            return False
        delay_s = search.delay_s * self._context.random.uniform(0.5, 1.0)
        if feed.source is None and not self.selector.is_within_deadline(
            feed, delay_s
        ):
            self._end_search(feed, search)
            return False
        await trio.sleep(delay_s)
        search.start_round()
        return True

    def _end_search(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> None:
        answer = b"" if search.unreachable else search.answer
        self._end_feed(feed, answer, search.retry_after_s)

    async def _read(
        self, source: source_module.Source, search: search_module.Search
    ) -> None:
        """Opens one stream and reads it until it ends."""
        service = source.feed.flow.service
        upstream = ids.UpstreamId(source.upstream.id)
        kind = contract.CallKind.FEED
        if source.feed.source is not None:
            # No caller waits for this move, so a semaphore limits the number
            # of concurrent moves.
            await search.acquire_permit(self._permits)
        self._context.chooser.record_start(service, upstream, kind)
        try:
            with source.scope:
                await self._read_stream(source, search)
        except errors.PeerError as error:
            source.declared_dead = isinstance(
                error, errors_module.PeerGaveUpError
            )
            logger.debug("Stream of a feed to its keeper ended: %s.", error)
        finally:
            search.release_permit()
            self._context.chooser.record_end(service, upstream, kind)
            source.stream = None
            self._switchover.record_end(source)

    async def _read_stream(
        self, source: source_module.Source, search: search_module.Search
    ) -> None:
        feed = source.feed
        feed.candidate = source
        source.scope.deadline = (
            trio.current_time() + limits.FIRST_EVENT_TIMEOUT_S
        )
        async with self._open_stream(source) as stream:
            source.stream = stream
            while not feed.closed:
                if self._process_message(source, await stream.receive()):
                    return
                search.release_permit()
                if feed.source is source:
                    await self._reports.report_by_count(feed)

    def _open_stream(
        self, source: source_module.Source
    ) -> contextlib.AbstractAsyncContextManager[network.PeerStream]:
        entry = self._context.contracts.get(source.feed.flow.service)
        revision = ids.Revision(0) if entry is None else entry.revision
        upstream = ids.UpstreamId(source.upstream.id)
        opening = open_messages.make_open_message(
            source.feed, upstream, revision, resumes=source.resumes
        )
        timeout_s = self._context.settings.peers.connect_timeout_s
        return self._context.network.open(source.keeper, opening, timeout_s)

    def _process_message(
        self, source: source_module.Source, message: base.Message
    ) -> bool:
        """Processes a message of a keeper.

        Returns:
            True if it is the last message of the stream.
        """
        if isinstance(message, feeds.FeedEvent):
            self._process_event(source, message)
            return False
        if isinstance(message, feeds.FeedEnd):
            return self._process_end(source, message)
        if isinstance(message, feeds.FeedTaken):
            self._context.counts.add("feeds_closed_total", cause="taken")
            self._remove_feed(source.feed)
            return True
        return False

    def _process_event(
        self, source: source_module.Source, message: feeds.FeedEvent
    ) -> None:
        try:
            event = event_module.read_event(message, source.keeper)
        except errors.MalformedDatagramError as error:
            logger.warning("Dropped a malformed event of a feed: %s.", error)
            self._context.counts.add("feed_events_malformed_total")
            return
        source.started = True
        source.scope.deadline = math.inf
        source.feed.floor = max(source.feed.floor, event.sequence)
        self._switchover.process_event(source, event)

    def _process_end(
        self, source: source_module.Source, end: feeds.FeedEnd
    ) -> bool:
        self._context.counts.add("feed_ends_total", cause=end.cause.value)
        if end.load is not None:
            service = source.feed.flow.service
            self._context.chooser.record_load(service, end.load)
        if end.cause not in _MOVE_CAUSES or not source.started:
            source.end = end
            return True
        source.move_cause = end.cause
        if source.feed.source is source:
            self.move(source.feed)
        return False

    def _handle_switch(self, feed: feed_module.Feed) -> None:
        self._broken_links.notify_former_keeper(feed)
        if feed.served is not None:
            feed.served.set()
        if feed.recent_digests:
            self.report_soon(feed)
        # The keeper may have requested a move while its stream was still the
        # candidate.
        if feed.source is not None and self.selector.must_move(feed.source):
            self.move(feed)


def _log_attempt(source: source_module.Source, took_s: float) -> None:
    """Logs that a feed was not opened at an upstream."""
    logger.info(
        "Feed %s not opened at %s of keeper %s in %.3f s: %s.",
        source.feed.name,
        source.upstream.id,
        source.keeper,
        took_s,
        source.end.cause.value if source.end is not None else "no answer",
    )
