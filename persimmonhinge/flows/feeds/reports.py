"""Reports to keepers which events callers were sent.

If this home dies, the keeper hands the feed and this state to the next home.
"""

from __future__ import annotations

import trio

from persimmonhinge import errors
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import limits
from persimmonhinge.peers.messages import feeds

_PUSH_TIMEOUT_S = 0.5


class Reports:
    """Sends `FeedAck` messages, by number of events and by time."""

    def __init__(self) -> None:
        self._due: dict[feed_module.Feed, None] = {}

    async def report_by_count(self, feed: feed_module.Feed) -> None:
        """Reports after each `EVENTS_PER_ACK` events.

        With fewer events, the feed is queued for `run`.
        """
        ahead = max(feed.sequence, feed.confirmed) - feed.reported
        if ahead == 0:
            return
        if ahead < limits.EVENTS_PER_ACK * feeds.SEQUENCE_STRIDE:
            self._due[feed] = None
            return
        await self._push(feed)

    def report_later(self, feed: feed_module.Feed) -> None:
        """Queues a feed for `run` if its keeper lacks its newest number."""
        if max(feed.sequence, feed.confirmed) > feed.reported:
            self._due[feed] = None

    async def report(self, feed: feed_module.Feed) -> None:
        """Reports at once, for example to a new keeper after a move."""
        await self._push_within_limit(feed)

    async def run(self) -> None:
        """Reports the feeds that `report_by_count` queued, oldest first.

        Feeds with many events are reported by count, which adds little to
        their own traffic. This loop is for feeds with few events. It sends at
        most `MAX_ACKS_PER_INTERVAL` reports per interval, so that its traffic
        stays constant when the number of feeds grows.
        """
        while True:
            await trio.sleep(limits.ACK_INTERVAL_S)
            due = list(self._due)[: limits.MAX_ACKS_PER_INTERVAL]
            for feed in due:
                self._due.pop(feed, None)
                await self._push_within_limit(feed)

    async def _push_within_limit(self, feed: feed_module.Feed) -> None:
        # A blocked link must not delay the reports of other feeds.
        with trio.move_on_after(_PUSH_TIMEOUT_S):
            try:
                await self._push(feed)
            except errors.PeerLinkLostError:
                # The task that reads this stream handles the lost link.
                pass

    async def _push(self, feed: feed_module.Feed) -> None:
        self._due.pop(feed, None)
        source = feed.source
        if feed.closed or source is None or source.stream is None:
            return
        if feed.outbox is not None:
            # The digests include answers that are held back, not yet sent.
            return
        recent = digests.split(feed.recent_digests)
        feed.reported = max(feed.sequence, feed.confirmed)
        await source.stream.push(
            feeds.FeedAck(feed.sequence, recent, feed.confirmed)
        )
