"""The feeds of a home, by flow and token."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feed_module


class FeedTable:
    """All feeds that this host is home of.

    Keyed by flow alone, since most flows have one feed: a key of flow and
    token would cost another object for each feed.
    """

    def __init__(self) -> None:
        self._by_flow: dict[port.Flow, tuple[feed_module.Feed, ...]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[feed_module.Feed]:
        """Returns the feeds as they are now; the table may change."""
        for of_flow in tuple(self._by_flow.values()):
            yield from of_flow

    def get_flow_feeds(self, flow: port.Flow) -> tuple[feed_module.Feed, ...]:
        """Returns the feeds of one flow."""
        return self._by_flow.get(flow, ())

    def get(self, flow: port.Flow, token: bytes) -> feed_module.Feed | None:
        """Returns a feed, None if there is none."""
        for feed in self._by_flow.get(flow, ()):
            if feed.token == token:
                return feed
        return None

    def add(self, feed: feed_module.Feed) -> None:
        """Adds a feed whose flow and token are not in the table."""
        self._by_flow[feed.flow] = (*self.get_flow_feeds(feed.flow), feed)
        self._count += 1

    def remove(self, feed: feed_module.Feed) -> bool:
        """Removes a feed; False if it was not there."""
        of_flow = self.get_flow_feeds(feed.flow)
        rest = tuple(other for other in of_flow if other is not feed)
        if len(rest) == len(of_flow):
            return False
        if rest:
            self._by_flow[feed.flow] = rest
        else:
            del self._by_flow[feed.flow]
        self._count -= 1
        return True
