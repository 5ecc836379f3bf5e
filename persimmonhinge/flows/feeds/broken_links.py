"""Feeds whose link to their keeper broke: where they are opened next."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import outline
from persimmonhinge.flows.feeds import search as searches
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.peers.messages import feeds as messages


class BrokenLinks:
    """Has feeds go back to the keeper that holds what came meanwhile."""

    def __init__(self, around: surroundings.Surroundings) -> None:
        self._around = around

    def note(self, source: sources.Source) -> None:
        """Takes in that the stream which served a feed is gone.

        Guards against a gap where the feed was just moving: what its keeper
        holds is missing at the other upstream, which may be ahead. An attempt
        there ends.
        """
        feed = source.feed
        feed.lost = None if source.end else source
        if feed.lost is not None and feed.candidate is not None:
            feed.candidate.scope.cancel()

    def prefer_keeper(self, feed: feeds.Feed, search: searches.Search) -> None:
        """Has a feed opened where it was, once in a search.

        Its keeper holds what came meanwhile, also if the feed has to move.
        """
        lost = feed.lost
        if lost is None or feed.source is not None or search.asked is lost:
            return
        search.asked = lost
        if self._around.view.find_by_ref(lost.keeper_ref) is not None:
            search.preferred = port.Choice(
                lost.upstream, lost.keeper, lost.keeper_ref
            )

    def wants_retry(
        self, source: sources.Source, search: searches.Search
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
        if source.given_up and not search.patient_until:
            search.patient_until = now + limits.GIVEN_UP_S
        if source.feed.lost is None or source.end is not None:
            return False
        if now >= search.patient_until:
            return False
        search.asked = None
        return True

    def leave_keeper(self, feed: feeds.Feed) -> None:
        """Tells the keeper of a broken link that the feed is open elsewhere.

        Guards against a keeper that gives another home what it holds, after
        this one has sent it from elsewhere and died.
        """
        lost, feed.lost = feed.lost, None
        source = feed.source
        if lost is None or source is None:
            return
        upstream = ids.UpstreamId(lost.upstream.id)
        if source.keeper == lost.keeper and source.upstream.id == upstream:
            return
        left = outline.make_open(feed, upstream, ids.Revision(0))
        self._around.network.send(lost.keeper, messages.FeedLeft(left))
