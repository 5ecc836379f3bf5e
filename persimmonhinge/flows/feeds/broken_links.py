"""Feeds whose link to their keeper broke: where they are opened next."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import search as search_module
from persimmonhinge.flows.feeds import source as source_module
from persimmonhinge.peers.messages import feeds


class BrokenLinks:
    """Has feeds go back to the keeper that holds what came meanwhile."""

    def __init__(self, context: feed_context.FeedContext) -> None:
        self._context = context

    def record_loss(self, source: source_module.Source) -> None:
        """Takes in that the stream which served a feed is gone.

        Guards against a gap where the feed was just moving: what its keeper
        holds is missing at the other upstream, which may be ahead. An attempt
        there ends.
        """
        feed = source.feed
        feed.lost_source = None if source.end else source
        if feed.lost_source is not None and feed.candidate is not None:
            feed.candidate.scope.cancel()

    def prefer_keeper(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> None:
        """Has a feed opened where it was, once in a search.

        Its keeper holds what came meanwhile, also if the feed has to move.
        """
        lost = feed.lost_source
        if (
            lost is None
            or feed.source is not None
            or search.last_queried is lost
        ):
            return
        search.last_queried = lost
        if self._context.view.find_ref(lost.keeper_ref) is not None:
            search.preferred = port.Choice(
                lost.upstream, lost.keeper, lost.keeper_ref
            )

    def should_retry_keeper(
        self, source: source_module.Source, search: search_module.Search
    ) -> bool:
        """Tells whether the keeper that had the feed is to be asked again.

        Guards against two homes of one feed: a host that was paused learns
        late that it was given up, and its keepers may have found other homes.
        Only they can tell, once they take its links again.

        Args:
            source: An attempt that failed.
            search: The search that it belongs to.
        """
        now = trio.current_time()
        if source.declared_dead and not search.retry_keeper_until:
            search.retry_keeper_until = now + limits.MAX_DECLARED_DEAD_RETRY_S
        if source.feed.lost_source is None or source.end is not None:
            return False
        if now >= search.retry_keeper_until:
            return False
        search.last_queried = None
        return True

    def notify_former_keeper(self, feed: feed_module.Feed) -> None:
        """Tells the keeper of a broken link that the feed is open elsewhere.

        Guards against a keeper that gives another home what it holds, after
        this one has sent it from elsewhere and died.
        """
        lost, feed.lost_source = feed.lost_source, None
        source = feed.source
        if lost is None or source is None:
            return
        upstream = ids.UpstreamId(lost.upstream.id)
        if source.keeper == lost.keeper and source.upstream.id == upstream:
            return
        left = open_messages.make_open_message(feed, upstream, ids.Revision(0))
        self._context.network.send(lost.keeper, feeds.FeedLeft(left))
