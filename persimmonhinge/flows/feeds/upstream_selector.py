"""Selection of the upstream that a feed is opened at or moved from."""

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
    """Selects upstreams for feeds by the contracts and the chooser."""

    def __init__(self, context: feed_context.FeedContext) -> None:
        self._context = context

    def must_move(self, source: source_module.Source) -> bool:
        """Returns whether the feed has to move from a stream's upstream."""
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
        """Returns the upstream to try next, None if no upstream is left."""
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
        """Returns whether a feed is within its deadline after a delay.

        The deadline limits how long a feed may be without an upstream.
        """
        if self._context.contracts.get(feed.flow.service) is None:
            return False
        deadline = feed.unserved_since + feed.call_class.deadline_s
        return trio.current_time() + delay_s < deadline
