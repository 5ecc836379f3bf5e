"""Which upstream a feed is opened at, and which one it has to leave."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import search as search_module
from persimmonhinge.flows.feeds import source as source_module


class UpstreamSelector:
    """Judges upstreams by contracts, view and chooser."""

    def __init__(self, context: feed_context.FeedContext) -> None:
        self._context = context

    def must_move(self, source: source_module.Source) -> bool:
        """Tells whether the upstream of a stream is to be left."""
        if source.move_cause is not None:
            return True
        entry = self._context.contracts.get(source.feed.flow.service)
        if entry is None:
            return True
        upstream_id = ids.UpstreamId(source.upstream.id)
        upstream = entry.contract.get_upstream(upstream_id)
        if upstream is None or upstream.address != source.upstream.address:
            return True
        return upstream.state is not contract.UpstreamState.ACTIVE

    def choose(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> port.Choice | None:
        """Returns where a feed is to be opened next, None if nowhere."""
        entry = self._context.contracts.get(feed.flow.service)
        if entry is None:
            return None
        if search.preferred is not None:
            preferred, search.preferred = search.preferred, None
            return preferred
        return self._context.chooser.choose(
            entry, contract.CallKind.FEED, exclude=search.tried
        )

    def is_within_deadline(
        self, feed: feed_module.Feed, delay_s: float
    ) -> bool:
        """Tells whether a feed may go without an upstream so much longer."""
        if self._context.contracts.get(feed.flow.service) is None:
            return False
        deadline = feed.unserved_since + feed.call_class.deadline_s
        return trio.current_time() + delay_s < deadline
