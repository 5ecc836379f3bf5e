"""Feeds that have lost their home, until another home takes them over."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import line_budgets
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import adoptions
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import feed as feed_module

logger = logging.getLogger(__name__)

# Long enough for membership to detect the failure of the home, and for a new
# home to select an upstream.
HOLD_LIMIT_S = 10.0
_CALL_TIMEOUT_S = 4.0
_OFFER_INTERVAL_S = 0.3
# Upper bound of the delay between the membership views of two keepers.
_MAX_VIEW_SKEW_S = 0.5
_MAX_CONCURRENT_OFFERS = 64


class OrphanedFeeds:
    """Holds feeds whose link to the home was lost, and finds new homes.

    Without this, a feed would stop after the failure of its home: the caller
    sends nothing from which another host could learn of the feed. Once
    membership reports that the home has failed or is leaving, the feed is
    offered to the next home. While the home may still be alive, the feed is
    not offered, because two homes would then send to one caller. A home that
    is alive opens the feed again and gets the events it has missed.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        view: view_module.View,
        placement: placement_module.Placement,
        network: network_module.PeerNetwork,
    ) -> None:
        self._context = context
        self._view = view
        self._placement = placement
        self._network = network
        self._feeds: dict[adoptions.FeedKey, feed_module.Feed] = {}
        self._adoptions = adoptions.Adoptions()
        self._log_budget = line_budgets.Budget()
        self._limiter = trio.CapacityLimiter(_MAX_CONCURRENT_OFFERS)

    def __len__(self) -> int:
        return len(self._feeds)

    def find(self, open_message: feeds.FeedOpen) -> feed_module.Feed | None:
        """Returns the held feed that a home resumes; None if there is none."""
        feed = self._feeds.get(_make_key(open_message))
        if feed is None or feed.open_message.request != open_message.request:
            return None
        # A host of an earlier release sends no floor and always resumes.
        if not open_message.resumes and open_message.floor:
            return None
        return feed

    def has_other_home(
        self, home: ids.HostId, open_message: feeds.FeedOpen
    ) -> bool:
        """Returns whether a feed was adopted by a home other than `home`."""
        if self.find(open_message) is not None:
            return False
        key = _make_key(open_message)
        if not self._adoptions.has_other_home(key, home, open_message):
            return False
        if self._log_budget.take():
            logger.info(
                "Feed %s not opened for home %s, which confirmed events up to"
                " %d: another home has adopted the feed.",
                _format_feed(open_message),
                home,
                open_message.confirmed,
            )
        return True

    async def claim(
        self, home: ids.HostId, open_message: feeds.FeedOpen
    ) -> feed_module.Feed | None:
        """Removes and returns the held feed that a home resumes.

        Returns:
            None if no feed is held that the home may resume.
        """
        key = _make_key(open_message)
        feed = self.find(open_message)
        if feed is not None:
            del self._feeds[key]
            self._context.counts.add("feeds_resumed_total")
            await feed.stop_collecting()
            self._adoptions.record_adoption(key, home, feed.events.sequence)
            self._log_resumed(home, open_message, feed)
            return feed
        held = self._feeds.get(key)
        if (
            held is not None
            and held.open_message.request != open_message.request
        ):
            # The caller uses the token for another resource now.
            del self._feeds[key]
            self._context.start_soon(held.cancel)
        return None

    def _log_resumed(
        self,
        home: ids.HostId,
        open_message: feeds.FeedOpen,
        feed: feed_module.Feed,
    ) -> None:
        if not self._log_budget.take():
            return
        logger.info(
            "Feed %s resumed by home %s after event %d, newest event %d,"
            " former home %s.",
            _format_feed(open_message),
            home,
            open_message.confirmed,
            feed.events.sequence,
            feed.home.host if feed.home is not None else "unknown",
        )

    async def handle_feed_left(
        self, caller: network_module.Caller, left: feeds.FeedLeft
    ) -> None:
        """Cancels a feed that its home has opened again elsewhere."""
        feed = self._feeds.get(_make_key(left.feed))
        if feed is None or feed.home is None or feed.home.host != caller.host:
            return
        del self._feeds[_make_key(left.feed)]
        await feed.cancel()

    def hold(self, feed: feed_module.Feed) -> None:
        """Holds a feed and starts to look for a new home."""
        former = self._feeds.pop(_make_key(feed.open_message), None)
        if former is not None:
            self._context.start_soon(former.cancel)
        self._feeds[_make_key(feed.open_message)] = feed
        feed.start_collecting()
        self._context.start_soon(self._find_home, feed)

    async def _find_home(self, feed: feed_module.Feed) -> None:
        with trio.move_on_after(HOLD_LIMIT_S):
            await self._wait_until_home_ended(feed)
            if not feed.events.is_confirmed:
                # The feed was being moved. The keeper at which it was open
                # before has more recent events and makes its offer first.
                await trio.sleep(_MAX_VIEW_SKEW_S)
            while self._holds(feed):
                if await self._offer(feed):
                    break
                await trio.sleep(_OFFER_INTERVAL_S)
        if self._holds(feed):
            del self._feeds[_make_key(feed.open_message)]
            await feed.cancel()

    async def _wait_until_home_ended(self, feed: feed_module.Feed) -> None:
        while self._holds(feed) and not self._has_ended(feed.home):
            await self._view.changed.wait_beyond(self._view.changed.version)

    def _has_ended(self, home: member_module.Member | None) -> bool:
        if home is None:
            return True
        current = self._view.get(home.host)
        if current is None or current.incarnation != home.incarnation:
            return True
        # A leaving host has handed over its feeds before it closes its links.
        return current.state in (
            member_module.MemberState.DEAD,
            member_module.MemberState.LEAVING,
        )

    async def _offer(self, feed: feed_module.Feed) -> bool:
        async with self._limiter:
            for member in self._list_candidate_homes(feed):
                if not self._holds(feed):
                    return True
                if await self._offer_to(member.host, feed):
                    return True
        return False

    def _list_candidate_homes(
        self, feed: feed_module.Feed
    ) -> list[member_module.Member]:
        open_message = feed.open_message
        caller = (open_message.caller_host, open_message.caller_port)
        ranked = self._placement.rank_homes(open_message.service, caller)
        return [m for m in ranked if not _is_home(m, feed.home)]

    async def _offer_to(self, host: ids.HostId, feed: feed_module.Feed) -> bool:
        offer = feeds.FeedAdopt(feed.make_feed_open())
        try:
            answer = await self._network.call(host, offer, _CALL_TIMEOUT_S)
        except errors.PeerError as error:
            logger.debug("Offer of a feed to another home failed: %s.", error)
            return False
        accepted = isinstance(answer, feeds.Adopted) and answer.accepted
        if accepted:
            self._context.counts.add("feeds_rescued_total")
            self._adoptions.record_adoption(
                _make_key(feed.open_message), host, feed.events.sequence
            )
        return accepted

    def _holds(self, feed: feed_module.Feed) -> bool:
        return self._feeds.get(_make_key(feed.open_message)) is feed


def _make_key(open_message: feeds.FeedOpen) -> adoptions.FeedKey:
    return (
        open_message.service,
        open_message.upstream,
        open_message.caller_host,
        open_message.caller_port,
        open_message.token,
    )


def _format_feed(open_message: feeds.FeedOpen) -> str:
    """Returns the name of a feed in the log: service, caller and token."""
    caller = f"{open_message.caller_host}:{open_message.caller_port}"
    return f"{open_message.service}/{caller}/{open_message.token.hex()}"


def _is_home(
    member: member_module.Member, home: member_module.Member | None
) -> bool:
    return home is not None and member.ref == home.ref
