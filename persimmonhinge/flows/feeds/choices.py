"""Which upstream a feed is opened at, and which one it has to leave."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import search as searches
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import surroundings


class Choices:
    """Judges upstreams by contracts, view and chooser."""

    def __init__(self, around: surroundings.Surroundings) -> None:
        self._around = around

    def must_move(self, source: sources.Source) -> bool:
        """Tells whether the upstream of a stream is to be left."""
        if source.cause is not None:
            return True
        entry = self._around.contracts.get(source.feed.flow.service)
        if entry is None:
            return True
        upstream_id = ids.UpstreamId(source.upstream.id)
        upstream = entry.contract.get_upstream(upstream_id)
        if upstream is None or upstream.address != source.upstream.address:
            return True
        return upstream.state is not contracts.UpstreamState.ACTIVE

    def choose(
        self, feed: feeds.Feed, search: searches.Search
    ) -> port.Choice | None:
        """Returns where a feed is to be opened next, None if nowhere."""
        entry = self._around.contracts.get(feed.flow.service)
        if entry is None:
            return None
        if search.preferred is not None:
            preferred, search.preferred = search.preferred, None
            return preferred
        return self._around.chooser.choose(
            entry, contracts.CallKind.FEED, exclude=search.tried
        )

    def is_in_time(self, feed: feeds.Feed, delay_s: float) -> bool:
        """Tells whether a feed may go without an upstream so much longer."""
        if self._around.contracts.get(feed.flow.service) is None:
            return False
        deadline = feed.lost_at + feed.call_class.deadline_s
        return trio.current_time() + delay_s < deadline
