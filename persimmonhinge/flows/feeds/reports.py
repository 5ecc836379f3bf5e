"""Tells keepers what callers were sent, for the case that this home dies."""

from __future__ import annotations

import trio

from persimmonhinge import errors
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import limits
from persimmonhinge.peers.messages import feeds

_PUSH_LIMIT_S = 0.5


class Reports:
    """Sends `FeedAck` messages, by count and by time."""

    def __init__(self) -> None:
        self._due: dict[feed_module.Feed, None] = {}

    async def report_by_count(self, feed: feed_module.Feed) -> None:
        """Reports after each `ACK_EVENTS` events; else notes the feed."""
        ahead = max(feed.sequence, feed.confirmed) - feed.reported
        if ahead == 0:
            return
        if ahead < limits.EVENTS_PER_ACK * feeds.SEQUENCE_STRIDE:
            self._due[feed] = None
            return
        await self._push(feed)

    async def report(self, feed: feed_module.Feed) -> None:
        """Reports at once, as after a move: the keeper knows nothing yet."""
        await self._push_within_limit(feed)

    async def run(self) -> None:
        """Reports what `report_by_count` leaves, the oldest first.

        Feeds with many events are reported by count, which takes a small
        part of their own traffic. This loop is for slow feeds, and its
        ceiling keeps it flat as feeds grow.
        """
        while True:
            await trio.sleep(limits.ACK_INTERVAL_S)
            due = list(self._due)[: limits.MAX_ACKS_PER_INTERVAL]
            for feed in due:
                self._due.pop(feed, None)
                await self._push_within_limit(feed)

    async def _push_within_limit(self, feed: feed_module.Feed) -> None:
        # A link that is stuck must not hold up the reports of all others.
        with trio.move_on_after(_PUSH_LIMIT_S):
            try:
                await self._push(feed)
            except errors.PeerLinkLostError:
                # The task that reads this stream sees it too and acts.
                pass

    async def _push(self, feed: feed_module.Feed) -> None:
        self._due.pop(feed, None)
        source = feed.source
        if feed.closed or source is None or source.stream is None:
            return
        if feed.outbox is not None:
            # What is held back is among the digests, and was not sent.
            return
        recent = digests.split(feed.recent)
        feed.reported = max(feed.sequence, feed.confirmed)
        await source.stream.push(
            feeds.FeedAck(feed.sequence, recent, feed.confirmed)
        )
