"""Feeds whose home is gone, until another home carries them on."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import line_budgets
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import feed as feed_parts
from persimmonhinge.upstreams import rescues

logger = logging.getLogger(__name__)

# Long enough for membership to find out that the home died, and for a new
# home to look for an upstream.
HOLD_S = 10.0
_CALL_TIMEOUT_S = 4.0
_PAUSE_S = 0.3
# Views of two keepers differ by less than this, seconds.
_MOVING_S = 0.5
_MOST_AT_A_TIME = 64


class Orphans:
    """Keeps feeds going whose link to the home was lost.

    Guards against a feed that stands still after its home died: the caller
    sends nothing by which another host would learn of it. Once membership
    says that the home is gone, the feed is offered to the next home. As
    long as it may still live, nothing is offered, because two homes would
    then send to one caller; the home opens the feed anew by itself, and
    gets what came meanwhile.
    """

    def __init__(
        self,
        context: contexts.KeeperContext,
        view: views.View,
        placement: placements.Placement,
        network: networks.PeerNetwork,
    ) -> None:
        self._context = context
        self._view = view
        self._placement = placement
        self._network = network
        self._feeds: dict[rescues.FeedKey, feed_parts.Feed] = {}
        self._rescues = rescues.Rescues()
        self._lines = line_budgets.Budget()
        self._limiter = trio.CapacityLimiter(_MOST_AT_A_TIME)

    def __len__(self) -> int:
        return len(self._feeds)

    def find(self, opened: messages.FeedOpen) -> feed_parts.Feed | None:
        """Returns a feed that a home goes on with, None if it is not here."""
        feed = self._feeds.get(_make_key(opened))
        if feed is None or feed.opened.request != opened.request:
            return None
        # A host of an earlier release names no floor, and always goes on.
        if not opened.resumes and opened.floor:
            return None
        return feed

    def is_elsewhere(
        self, caller: ids.HostId, opened: messages.FeedOpen
    ) -> bool:
        """Tells whether another home than the one that opens a feed has it."""
        if self.find(opened) is not None:
            return False
        key = _make_key(opened)
        if not self._rescues.is_elsewhere(key, caller, opened):
            return False
        if self._lines.take():
            logger.info(
                "Feed %s is not opened for %s, which has sent up to %d:"
                " another home has it.",
                _describe(opened),
                caller,
                opened.confirmed,
            )
        return True

    async def take(
        self, caller: ids.HostId, opened: messages.FeedOpen
    ) -> feed_parts.Feed | None:
        """Returns a feed that a home goes on with, and holds it no more."""
        key = _make_key(opened)
        found = self.find(opened)
        if found is not None:
            del self._feeds[key]
            self._context.counts.add("feeds_resumed_total")
            await found.stop_collecting()
            self._rescues.note(key, caller, found.given.sequence)
            self._log_resumed(caller, opened, found)
            return found
        held = self._feeds.get(key)
        if held is not None and held.opened.request != opened.request:
            # The token was given to another resource.
            del self._feeds[key]
            self._context.start_soon(held.end)
        return None

    def _log_resumed(
        self,
        caller: ids.HostId,
        opened: messages.FeedOpen,
        found: feed_parts.Feed,
    ) -> None:
        if not self._lines.take():
            return
        logger.info(
            "Feed %s goes on at %s after event %d, the newest is %d;"
            " before: %s.",
            _describe(opened),
            caller,
            opened.confirmed,
            found.given.sequence,
            found.home.host if found.home is not None else "unknown",
        )

    async def release(
        self, caller: networks.Caller, left: messages.FeedLeft
    ) -> None:
        """Ends a feed whose home has opened it elsewhere."""
        feed = self._feeds.get(_make_key(left.feed))
        if feed is None or feed.home is None or feed.home.host != caller.host:
            return
        del self._feeds[_make_key(left.feed)]
        await feed.end()

    def hold(self, feed: feed_parts.Feed) -> None:
        """Keeps a feed and looks for a new home."""
        former = self._feeds.pop(_make_key(feed.opened), None)
        if former is not None:
            self._context.start_soon(former.end)
        self._feeds[_make_key(feed.opened)] = feed
        feed.begin_collecting()
        self._context.start_soon(self._find_home, feed)

    async def _find_home(self, feed: feed_parts.Feed) -> None:
        with trio.move_on_after(HOLD_S):
            await self._wait_until_gone(feed)
            if not feed.given.is_confirmed:
                # The feed was moving; where it was open before knows more.
                await trio.sleep(_MOVING_S)
            while self._holds(feed):
                if await self._offer(feed):
                    break
                await trio.sleep(_PAUSE_S)
        if self._holds(feed):
            del self._feeds[_make_key(feed.opened)]
            await feed.end()

    async def _wait_until_gone(self, feed: feed_parts.Feed) -> None:
        while self._holds(feed) and not self._is_gone(feed.home):
            await self._view.changed.wait_beyond(self._view.changed.version)

    def _is_gone(self, home: members.Member | None) -> bool:
        if home is None:
            return True
        now = self._view.get(home.host)
        if now is None or now.incarnation != home.incarnation:
            return True
        # A host that leaves hands its feeds over before it closes links.
        return now.state in (
            members.MemberState.DEAD,
            members.MemberState.LEAVING,
        )

    async def _offer(self, feed: feed_parts.Feed) -> bool:
        async with self._limiter:
            for member in self._list_homes(feed):
                if not self._holds(feed):
                    return True
                if await self._offer_to(member.host, feed):
                    return True
        return False

    def _list_homes(self, feed: feed_parts.Feed) -> list[members.Member]:
        opened = feed.opened
        caller = (opened.caller_host, opened.caller_port)
        ranked = self._placement.rank_homes(opened.service, caller)
        return [m for m in ranked if not _is_same(m, feed.home)]

    async def _offer_to(self, host: ids.HostId, feed: feed_parts.Feed) -> bool:
        offer = messages.FeedAdopt(feed.describe())
        try:
            answer = await self._network.call(host, offer, _CALL_TIMEOUT_S)
        except errors.PeerError as error:
            logger.debug("Feed was not taken: %s.", error)
            return False
        accepted = isinstance(answer, messages.Adopted) and answer.accepted
        if accepted:
            self._context.counts.add("feeds_rescued_total")
            self._rescues.note(
                _make_key(feed.opened), host, feed.given.sequence
            )
        return accepted

    def _holds(self, feed: feed_parts.Feed) -> bool:
        return self._feeds.get(_make_key(feed.opened)) is feed


def _make_key(opened: messages.FeedOpen) -> rescues.FeedKey:
    return (
        opened.service,
        opened.upstream,
        opened.caller_host,
        opened.caller_port,
        opened.token,
    )


def _describe(opened: messages.FeedOpen) -> str:
    """Returns how the log names a feed: service, caller and token."""
    caller = f"{opened.caller_host}:{opened.caller_port}"
    return f"{opened.service}/{caller}/{opened.token.hex()}"


def _is_same(member: members.Member, home: members.Member | None) -> bool:
    return home is not None and member.ref == home.ref
