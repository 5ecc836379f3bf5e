"""The change from one upstream to another, without gap or repeat."""

from __future__ import annotations

from collections.abc import Callable
import functools

import trio

from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as events
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import outline
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.peers.messages import feeds as messages

_DEFAULT_MAX_AGE_S = 60


class Seam:
    """Decides which events of which upstream a caller gets.

    The former upstream serves until the new one has shown where it stands.
    A new one that is level or behind is taken at once, and what the caller
    has had already is dropped until it has caught up. A new one that starts
    with a state unknown here is ahead, and its first event would leave a
    gap; or it is behind, at a state that the caller missed, and that event
    would step back. It waits for a short time, until the former one comes
    level with it, or it comes level with what the caller has had.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        callers: caller_side.CallerSide,
        taken: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self._callers = callers
        self._taken = taken

    def take(self, source: sources.Source, event: events.Event) -> None:
        """Takes an event of the present, the next or a former upstream."""
        feed = source.feed
        if event.resumed:
            self._take_resumed(source, event)
        elif feed.source is source:
            self._pass_on(source, event)
            self._compare(feed, event)
        elif feed.candidate is source:
            self._take_from_candidate(source, event)
        # Else it is a late event of a former upstream, which is passed over.

    def lose(self, source: sources.Source) -> None:
        """Notes that an upstream serves its feed no more."""
        feed = source.feed
        if feed.candidate is source:
            feed.candidate = None
        if feed.source is not source:
            return
        feed.source = None
        feed.lost_at = trio.current_time()
        if feed.candidate is not None and feed.candidate.held:
            self._finish_after(limits.BEHIND_S, feed.candidate)

    def _take_resumed(
        self, source: sources.Source, event: events.Event
    ) -> None:
        """Takes an event of a keeper that goes on with the same feed.

        Its numbers tell what the caller has had; a digest would not, where a
        state has come back to an earlier one. Only if no home has confirmed
        an event of that keeper, digests of those of the former one tell it.
        """
        feed = source.feed
        if feed.candidate is source:
            self._switch(source)
            feed.unsure = False
            if feed.confirmed:
                source.position = None
        if event.sequence > outline.find_taken(feed):
            self._pass_on(source, event)
        elif not feed.current:
            self._callers.note_current(feed, event)

    def _take_from_candidate(
        self, source: sources.Source, event: events.Event
    ) -> None:
        feed = source.feed
        if not feed.recent or digests.find(feed.recent, event.digest) >= 0:
            # What it held, if anything, is older than this one.
            self._switch(source)
            self._pass_on(source, event)
            return
        if source.held is None:
            source.held = []
            self._finish_after(self._choose_wait(feed), source)
        source.held.append(event)
        if len(source.held) >= limits.SEAM_EVENTS:
            self._finish(source)

    def _choose_wait(self, feed: feeds.Feed) -> float:
        former = feed.source
        if former is None or former.cause is messages.FeedEndCause.SILENT:
            return limits.BEHIND_S
        return limits.SEAM_S

    def _finish_after(self, delay_s: float, source: sources.Source) -> None:
        finish = functools.partial(self._finish, source)
        self._around.timers.call_after(delay_s, finish)

    def _compare(self, feed: feeds.Feed, event: events.Event) -> None:
        """Changes over if the former upstream has come level."""
        source = feed.candidate
        if source is None or not source.held:
            return
        for place, held in enumerate(source.held):
            if held.digest == event.digest:
                del source.held[: place + 1]
                self._finish(source)
                return

    def _finish(self, source: sources.Source) -> None:
        """Changes over to a candidate that waited."""
        feed = source.feed
        if feed.candidate is not source or source.held is None:
            return
        held = source.held
        source.held = None
        self._switch(source)
        source.position = None
        for event in held:
            self._pass_on(source, event)

    def _switch(self, source: sources.Source) -> None:
        feed = source.feed
        former = feed.source
        feed.candidate = None
        feed.source = source
        source.held = None
        feed.searching = False
        source.taken = True
        source.position = -1 if feed.recent else None
        if former is not None:
            former.scope.cancel()
            self._around.counts.add("feeds_moved_total")
        self._taken(feed)

    def _pass_on(self, source: sources.Source, event: events.Event) -> None:
        feed = source.feed
        if not self._is_known(source, event):
            feed.unsure = False
            self._callers.send(feed, event)
        source.newest = event.sequence
        if feed.outbox is None:
            feed.confirmed = event.sequence

    def _is_known(self, source: sources.Source, event: events.Event) -> bool:
        """Tells whether the caller has had the state of an event."""
        feed = source.feed
        if source.position is None:
            return self._is_fresh_repeat(feed, event)
        # The upstream publishes in order, so each event that the caller has
        # had stands behind the one before it.
        found = digests.find(feed.recent, event.digest, source.position + 1)
        is_newest = found == digests.count(feed.recent) - 1
        source.position = None if found < 0 or is_newest else found
        # A former home may have died before it sent the newest one: the
        # caller would miss it until the state changes again.
        return found >= 0 and not (is_newest and feed.unsure)

    def _is_fresh_repeat(self, feed: feeds.Feed, event: events.Event) -> bool:
        """Tells whether an event repeats the newest one and adds nothing.

        Only the newest one counts: a price that goes up and down again is
        news although it was sent before. A repeat is passed on once the
        caller's copy is about to become stale (RFC 7641, 1.3).
        """
        if event.digest != digests.last(feed.recent) or not feed.current:
            return False
        max_age = caller_side.read_current(feed).opt.max_age
        if max_age is None:
            max_age = _DEFAULT_MAX_AGE_S
        return trio.current_time() < feed.sent_at + max_age / 2
