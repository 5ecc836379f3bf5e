"""The feeds of a home, by flow and token."""

from __future__ import annotations

from collections.abc import Iterator

from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feeds


class FeedTable:
    """All feeds that this host is home of.

    Keyed by flow alone, since most flows have one feed: a key of flow and
    token would cost another object for each feed.
    """

    def __init__(self) -> None:
        self._by_flow: dict[port.Flow, tuple[feeds.Feed, ...]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[feeds.Feed]:
        """Returns the feeds as they are now; the table may change."""
        for of_flow in tuple(self._by_flow.values()):
            yield from of_flow

    def of_flow(self, flow: port.Flow) -> tuple[feeds.Feed, ...]:
        """Returns the feeds of one flow."""
        return self._by_flow.get(flow, ())

    def get(self, flow: port.Flow, token: bytes) -> feeds.Feed | None:
        """Returns a feed, None if there is none."""
        for feed in self._by_flow.get(flow, ()):
            if feed.token == token:
                return feed
        return None

    def add(self, feed: feeds.Feed) -> None:
        """Adds a feed whose flow and token are not in the table."""
        self._by_flow[feed.flow] = (*self.of_flow(feed.flow), feed)
        self._count += 1

    def remove(self, feed: feeds.Feed) -> bool:
        """Removes a feed; False if it was not there."""
        of_flow = self.of_flow(feed.flow)
        rest = tuple(other for other in of_flow if other is not feed)
        if len(rest) == len(of_flow):
            return False
        if rest:
            self._by_flow[feed.flow] = rest
        else:
            del self._by_flow[feed.flow]
        self._count -= 1
        return True
