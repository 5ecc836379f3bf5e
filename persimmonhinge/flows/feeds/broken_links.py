"""Recovery of feeds whose link to their keeper broke."""

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
    """Reopens feeds at the keeper that buffers their events."""

    def __init__(self, context: feed_context.FeedContext) -> None:
        self._context = context

    def record_loss(self, source: source_module.Source) -> None:
        """Records that the stream which served a feed has ended.

        If the feed was moving, the attempt at the other upstream is
        cancelled. That upstream may be ahead of the events that the keeper
        buffers, and the caller would miss them.
        """
        feed = source.feed
        feed.lost_source = None if source.end else source
        if feed.lost_source is not None and feed.candidate is not None:
            feed.candidate.scope.cancel()

    def prefer_keeper(
        self, feed: feed_module.Feed, search: search_module.Search
    ) -> None:
        """Makes a search try the keeper of the broken link first, once.

        That keeper buffers the events since the link broke, even if the feed
        then has to move.
        """
        lost = feed.lost_source
        if (
            lost is None
            or feed.source is not None
            or search.last_queried is lost
        ):
            return
        search.last_queried = lost
        if self._context.view.find_by_ref(lost.keeper_ref) is not None:
            search.preferred = port.Choice(
                lost.upstream, lost.keeper, lost.keeper_ref
            )

    def should_retry_keeper(
        self, source: source_module.Source, search: search_module.Search
    ) -> bool:
        """Returns whether to retry the keeper that served the feed.

        This guards against two homes of one feed. A host that was paused
        learns late that other hosts declared it dead, and its keepers may have
        handed its feeds to other homes. Only the keepers know this, and they
        answer once they accept links from this host again.

        Args:
            source: Stream of the attempt that failed.
            search: Search that the attempt belongs to.
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
        """Notifies the keeper of a broken link that the feed has moved.

        Otherwise, if this host dies, that keeper could hand the feed to
        another home with buffered events that the caller has received from
        another upstream.
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
