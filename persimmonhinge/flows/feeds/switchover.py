"""Switchover of a feed between upstreams without lost or repeated events."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging

import trio

from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as event_module
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import source as source_module
from persimmonhinge.peers.messages import feeds

logger = logging.getLogger(__name__)


class Switchover:
    """Decides which events of which upstream are sent to a caller.

    The former upstream serves the feed until the first event of the new one
    arrives. If the state of that event is among the recent answers, the new
    upstream is level or behind. The feed switches to it at once and drops the
    events that the caller has received.

    If the state is not among the recent answers, the new upstream is either
    ahead, and its event would leave a gap, or it is behind, at a state that
    the caller missed, and its event would be older than what the caller has.
    Its events are therefore held back for a limited time, until the former
    upstream publishes one of the held states or the new upstream publishes a
    state that the caller has received.
    """

    def __init__(
        self,
        context: feed_context.FeedContext,
        callers: caller_side.CallerSide,
        on_switch: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self._callers = callers
        self._on_switch = on_switch

    def process_event(
        self, source: source_module.Source, event: event_module.Event
    ) -> None:
        """Processes an event of the present, next or a former upstream."""
        feed = source.feed
        if event.resumed:
            self._process_resumed(source, event)
        elif feed.source is source:
            self._forward(source, event)
            self._check_candidate(feed, event)
        elif feed.candidate is source:
            self._process_from_candidate(source, event)
        # Late events of a former upstream are dropped.

    def record_end(self, source: source_module.Source) -> None:
        """Records that the stream of an upstream has ended."""
        feed = source.feed
        if feed.candidate is source:
            feed.candidate = None
        if feed.source is not source:
            return
        feed.source = None
        feed.unserved_since = trio.current_time()
        if feed.candidate is not None and feed.candidate.held_events:
            self._schedule_finish(limits.UNSERVED_SWITCH_WAIT_S, feed.candidate)

    def _process_resumed(
        self, source: source_module.Source, event: event_module.Event
    ) -> None:
        """Processes an event of a keeper that resumes the same feed.

        The sequence numbers show which events the caller has received. Digests
        can't show this if a state has returned to an earlier value. Only if no
        home has confirmed an event of this keeper, the events are compared
        with the digests of events of the former keeper.
        """
        feed = source.feed
        if feed.candidate is source:
            self._switch(source, f"it resumes at event {event.sequence}")
            feed.is_newest_unconfirmed = False
            if feed.confirmed:
                source.replay_position = None
        if event.sequence > open_messages.find_newest_accepted(feed):
            self._forward(source, event)
        elif not feed.newest_answer:
            self._callers.record_current(feed, event)

    def _process_from_candidate(
        self, source: source_module.Source, event: event_module.Event
    ) -> None:
        feed = source.feed
        if (
            not feed.recent_digests
            or digests.find(feed.recent_digests, event.digest) >= 0
        ):
            # Any held events are older than this event and are dropped.
            self._switch(source, f"event {event.sequence} is known")
            self._forward(source, event)
            return
        if source.held_events is None:
            source.held_events = []
            self._schedule_finish(self._choose_wait(feed), source)
        source.held_events.append(event)
        if len(source.held_events) >= limits.MAX_HELD_EVENTS:
            self._finish_wait(source)

    def _choose_wait(self, feed: feed_module.Feed) -> float:
        former = feed.source
        if former is None or former.move_cause is feeds.FeedEndCause.SILENT:
            return limits.UNSERVED_SWITCH_WAIT_S
        return limits.MAX_SWITCH_WAIT_S

    def _schedule_finish(
        self, delay_s: float, source: source_module.Source
    ) -> None:
        finish = functools.partial(self._finish_wait, source)
        self._context.timers.call_after(delay_s, finish)

    def _check_candidate(
        self, feed: feed_module.Feed, event: event_module.Event
    ) -> None:
        """Switches if the former upstream has published a held state."""
        source = feed.candidate
        if source is None or not source.held_events:
            return
        for position, held in enumerate(source.held_events):
            if held.digest == event.digest:
                del source.held_events[: position + 1]
                self._finish_wait(source)
                return

    def _finish_wait(self, source: source_module.Source) -> None:
        """Switches to a candidate and forwards its held events."""
        feed = source.feed
        if feed.candidate is not source or source.held_events is None:
            return
        held = source.held_events
        source.held_events = None
        self._switch(source, f"{len(held)} events were held back")
        source.replay_position = None
        for event in held:
            self._forward(source, event)

    def _switch(self, source: source_module.Source, cause: str) -> None:
        feed = source.feed
        former = feed.source
        if feed.recent_digests:
            _log_switch(source, former, cause)
        feed.candidate = None
        feed.source = source
        source.held_events = None
        feed.searching = False
        source.used = True
        source.replay_position = -1 if feed.recent_digests else None
        if former is not None:
            former.scope.cancel()
            self._context.counts.add("feeds_moved_total")
        self._on_switch(feed)

    def _forward(
        self, source: source_module.Source, event: event_module.Event
    ) -> None:
        feed = source.feed
        if not self._is_duplicate(source, event):
            feed.is_newest_unconfirmed = False
            self._callers.send(feed, event)
        elif not feed.newest_answer and event.digest == digests.last(
            feed.recent_digests
        ):
            self._callers.record_current(feed, event)
        source.newest_sequence = event.sequence
        if feed.outbox is None:
            feed.confirmed = event.sequence

    def _is_duplicate(
        self, source: source_module.Source, event: event_module.Event
    ) -> bool:
        """Returns whether the caller has received the state of an event."""
        feed = source.feed
        if source.replay_position is None:
            return self._is_fresh_repeat(feed, event)
        # The upstream publishes in order, so each repeated event is found
        # after the position of the previous one.
        found = digests.find(
            feed.recent_digests, event.digest, source.replay_position + 1
        )
        is_newest = found == digests.count(feed.recent_digests) - 1
        source.replay_position = None if found < 0 or is_newest else found
        # A former home may have died before it sent the newest event. If that
        # event were dropped, the caller would miss it until the next change.
        return found >= 0 and not (is_newest and feed.is_newest_unconfirmed)

    def _is_fresh_repeat(
        self, feed: feed_module.Feed, event: event_module.Event
    ) -> bool:
        """Returns whether an event only repeats a fresh newest answer.

        The event is compared with the newest answer only: a price that goes
        up and down again is a change although the same state was sent before.
        A repeat is forwarded when half of Max-Age has passed, before the
        caller's copy becomes stale (RFC 7641, 1.3).
        """
        if (
            event.digest != digests.last(feed.recent_digests)
            or not feed.newest_answer
        ):
            return False
        max_age_s = caller_side.read_max_age_s(feed)
        return trio.current_time() < feed.sent_at + max_age_s / 2


def _log_switch(
    source: source_module.Source,
    former: source_module.Source | None,
    cause: str,
) -> None:
    feed = source.feed
    logger.info(
        "Feed %s is now served by %s of keeper %s: %s; newest number sent %d,"
        " newest event confirmed %d, former upstream %s.",
        feed.name,
        source.upstream.id,
        source.keeper,
        cause,
        feed.sequence,
        feed.confirmed,
        former.upstream.id if former is not None else "gone",
    )
