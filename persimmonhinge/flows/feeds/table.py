"""Table of the feeds of a home, by flow and token."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feed_module


class FeedTable:
    """Table of all feeds that this host is home of.

    The key is the flow alone, because most flows have one feed and a key of
    flow and token would take another object per feed.
    """

    def __init__(self) -> None:
        self._by_flow: dict[port.Flow, tuple[feed_module.Feed, ...]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[feed_module.Feed]:
        """Iterates over a copy, so that the table may change meanwhile."""
        for flow_feeds in tuple(self._by_flow.values()):
            yield from flow_feeds

    def get_flow_feeds(self, flow: port.Flow) -> tuple[feed_module.Feed, ...]:
        """Returns the feeds of one flow."""
        return self._by_flow.get(flow, ())

    def get(self, flow: port.Flow, token: bytes) -> feed_module.Feed | None:
        """Returns the feed of a flow and token, None if there is none."""
        for feed in self._by_flow.get(flow, ()):
            if feed.token == token:
                return feed
        return None

    def add(self, feed: feed_module.Feed) -> None:
        """Adds a feed whose flow and token are not in the table."""
        self._by_flow[feed.flow] = (*self.get_flow_feeds(feed.flow), feed)
        self._count += 1

    def remove(self, feed: feed_module.Feed) -> bool:
        """Removes a feed.

        Returns:
            False if the feed was not in the table.
        """
        flow_feeds = self.get_flow_feeds(feed.flow)
        remaining = tuple(other for other in flow_feeds if other is not feed)
        if len(remaining) == len(flow_feeds):
            return False
        if remaining:
            self._by_flow[feed.flow] = remaining
        else:
            del self._by_flow[feed.flow]
        self._count -= 1
        return True
