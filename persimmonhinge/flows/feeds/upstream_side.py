"""The side of feeds that faces keepers: opening, reading and moving."""

from __future__ import annotations

from collections.abc import Callable
import contextlib
import logging
import math

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import broken_links
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import choices
from persimmonhinge.flows.feeds import event as events
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import outline
from persimmonhinge.flows.feeds import refusal
from persimmonhinge.flows.feeds import reports
from persimmonhinge.flows.feeds import seam as seams
from persimmonhinge.flows.feeds import search as searches
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.peers import errors as link_errors
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds as messages

logger = logging.getLogger(__name__)

# Causes after which the old stream goes on until the feed has moved.
_MOVE_CAUSES = (
    messages.FeedEndCause.DRAINING,
    messages.FeedEndCause.MOVED,
    messages.FeedEndCause.SILENT,
)

End = Callable[[feeds.Feed, bytes, int], None]


class UpstreamSide:
    """Keeps each feed open at an upstream.

    One task carries a feed: it looks for an upstream, reads its events, and
    looks for another when it is lost. A move from an upstream that still
    serves is made by a second task; the first one ends when the feed has
    changed over.

    Attributes:
        choices: Judges upstreams.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        nursery: trio.Nursery,
        callers: caller_side.CallerSide,
        reporter: reports.Reports,
        end: End,
        forget: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self._nursery = nursery
        self._reports = reporter
        self._end = end
        self._forget = forget
        self.choices = choices.Choices(around)
        self._broken = broken_links.BrokenLinks(around)
        self._seam = seams.Seam(around, callers, self._note_taken)
        self._permits = trio.Semaphore(limits.MOVES_AT_A_TIME)

    def open(
        self, feed: feeds.Feed, preferred: port.Choice | None = None
    ) -> None:
        """Looks for the first upstream of a feed.

        Args:
            feed: The feed.
            preferred: Where it was open at its former home, if anywhere.
        """
        first = feed.reply is not feeds.Reply.DONE
        self._start(feed, searches.Search(preferred, first=first))

    def move(self, feed: feeds.Feed, *, once: bool = False) -> bool:
        """Moves a feed from an upstream that still serves it.

        Args:
            feed: The feed.
            once: True to keep the upstream if no other takes the feed now.

        Returns:
            False if it moves already or no upstream serves it.
        """
        if feed.searching or feed.source is None or feed.closed:
            return False
        tried = frozenset({ids.UpstreamId(feed.source.upstream.id)})
        self._start(feed, searches.Search(tried=tried, once=once))
        return True

    def report_soon(self, feed: feeds.Feed) -> None:
        """Tells the keeper what the caller was sent, without waiting."""
        self._nursery.start_soon(self._reports.report, feed)

    def _start(self, feed: feeds.Feed, search: searches.Search) -> None:
        feed.searching = True
        self._nursery.start_soon(self._carry, feed, search)

    async def _carry(self, feed: feeds.Feed, search: searches.Search) -> None:
        while not feed.closed:
            self._broken.prefer_keeper(feed, search)
            resumes = search.preferred is not None
            choice = self.choices.choose(feed, search)
            if choice is None:
                if not await self._wait_for_round(feed, search):
                    return
                continue
            source = self._make_source(feed, choice, resumes=resumes)
            await self._read(source, search)
            if not source.taken:
                if self._broken.wants_retry(source, search):
                    await trio.sleep(limits.GIVEN_UP_RETRY_S)
                    continue
                if not self._goes_on(feed, search, source):
                    return
                continue
            if feed.closed or feed.source is not None:
                return
            self._broken.note(source)
            if feed.searching:
                return
            # The upstream that served is gone and no one looks for another.
            feed.searching = True
            tried = frozenset({ids.UpstreamId(source.upstream.id)})
            search = searches.Search(tried=tried)
            self._around.counts.add("feeds_lost_upstream_total")

    def _make_source(
        self, feed: feeds.Feed, choice: port.Choice, *, resumes: bool
    ) -> sources.Source:
        return sources.Source(
            feed,
            choice.upstream,
            choice.keeper,
            choice.keeper_ref,
            trio.CancelScope(),
            resumes,
        )

    def _goes_on(
        self,
        feed: feeds.Feed,
        search: searches.Search,
        source: sources.Source,
    ) -> bool:
        """Notes a failed attempt; False if the caller has its answer."""
        refusal.note(search, source)
        if not search.first or not refusal.is_final(search.answer):
            return True
        self._finish(feed, search)
        return False

    async def _wait_for_round(
        self, feed: feeds.Feed, search: searches.Search
    ) -> bool:
        """Waits until all upstreams may be tried again.

        Returns:
            False if the search is over.
        """
        if feed.source is not None:
            if search.once or not self.choices.must_move(feed.source):
                feed.searching = False
                return False
        elif search.first and not search.unreachable:
            # All refuse: a final answer is never held back.
            self._finish(feed, search)
            return False
        delay_s = search.delay_s * self._around.random.uniform(0.5, 1.0)
        if feed.source is None and not self.choices.is_in_time(feed, delay_s):
            self._finish(feed, search)
            return False
        await trio.sleep(delay_s)
        search.begin_round()
        return True

    def _finish(self, feed: feeds.Feed, search: searches.Search) -> None:
        answer = b"" if search.unreachable else search.answer
        self._end(feed, answer, search.retry_after_s)

    async def _read(
        self, source: sources.Source, search: searches.Search
    ) -> None:
        """Opens one stream and reads it to its end."""
        service = source.feed.flow.service
        upstream = ids.UpstreamId(source.upstream.id)
        kind = contracts.CallKind.FEED
        if source.feed.source is not None:
            # Moves that no caller waits for go on a few at a time.
            await search.acquire(self._permits)
        self._around.chooser.record_start(service, upstream, kind)
        try:
            with source.scope:
                await self._read_stream(source, search)
        except errors.PeerError as error:
            source.given_up = isinstance(error, link_errors.PeerGaveUpError)
            logger.debug("A feed's stream ended: %s.", error)
        finally:
            search.release()
            self._around.chooser.record_end(service, upstream, kind)
            source.stream = None
            self._seam.lose(source)

    async def _read_stream(
        self, source: sources.Source, search: searches.Search
    ) -> None:
        feed = source.feed
        feed.candidate = source
        source.scope.deadline = trio.current_time() + limits.FIRST_EVENT_S
        async with self._open_stream(source) as stream:
            source.stream = stream
            while not feed.closed:
                if self._take(source, await stream.receive()):
                    return
                search.release()
                if feed.source is source:
                    await self._reports.report_by_count(feed)

    def _open_stream(
        self, source: sources.Source
    ) -> contextlib.AbstractAsyncContextManager[networks.PeerStream]:
        entry = self._around.contracts.get(source.feed.flow.service)
        revision = ids.Revision(0) if entry is None else entry.revision
        upstream = ids.UpstreamId(source.upstream.id)
        opening = outline.make_open(
            source.feed, upstream, revision, resumes=source.resumes
        )
        timeout_s = self._around.settings.peers.connect_timeout_s
        return self._around.network.open(source.keeper, opening, timeout_s)

    def _take(self, source: sources.Source, message: base.Message) -> bool:
        """Takes a message of a keeper; True if it was the last."""
        if isinstance(message, messages.FeedEvent):
            self._take_event(source, message)
            return False
        if isinstance(message, messages.FeedEnd):
            return self._take_end(source, message)
        if isinstance(message, messages.FeedTaken):
            self._around.counts.add("feeds_closed_total", cause="taken")
            self._forget(source.feed)
            return True
        return False

    def _take_event(
        self, source: sources.Source, message: messages.FeedEvent
    ) -> None:
        try:
            event = events.read_event(message, source.keeper)
        except errors.MalformedDatagramError as error:
            logger.warning("Event passed over: %s.", error)
            self._around.counts.add("feed_events_malformed_total")
            return
        source.started = True
        source.scope.deadline = math.inf
        source.feed.floor = max(source.feed.floor, event.sequence)
        self._seam.take(source, event)

    def _take_end(self, source: sources.Source, end: messages.FeedEnd) -> bool:
        self._around.counts.add("feed_ends_total", cause=end.cause.value)
        if end.load is not None:
            service = source.feed.flow.service
            self._around.chooser.record_load(service, end.load)
        if end.cause not in _MOVE_CAUSES or not source.started:
            source.end = end
            return True
        source.cause = end.cause
        if source.feed.source is source:
            self.move(source.feed)
        return False

    def _note_taken(self, feed: feeds.Feed) -> None:
        self._broken.leave_keeper(feed)
        if feed.opened is not None:
            feed.opened.set()
        if feed.recent:
            self.report_soon(feed)
        # Its keeper may have asked for a move while it was a candidate.
        if feed.source is not None and self.choices.must_move(feed.source):
            self.move(feed)
