"""Serves the feeds that homes open at this keeper."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import view as views
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.policies import admission
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import exchange as exchanges
from persimmonhinge.upstreams import feed as feed_parts
from persimmonhinge.upstreams import kept as kept_parts
from persimmonhinge.upstreams import observation as observations
from persimmonhinge.upstreams import orphans as orphan_parts
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import roles as role_parts
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import upstreams as upstream_sets

logger = logging.getLogger(__name__)

# A caller that finds no connection free may come back after so long.
_FULL_RETRY_S = 2

_Cause = messages.FeedEndCause
_End = exchanges.ExchangeEnd
_State = observations.ObservationState


class Feeding:
    """Opens each feed at its upstream and carries it until its home closes.

    Each feed has two tasks: one takes what the home says, one passes on
    what the upstream sends.
    """

    def __init__(
        self,
        context: contexts.KeeperContext,
        view: views.View,
        roles: role_parts.Roles,
        upstreams: upstream_sets.KeptUpstreams,
        orphans: orphan_parts.Orphans,
    ) -> None:
        self._context = context
        self._view = view
        self._roles = roles
        self._upstreams = upstreams
        self._orphans = orphans

    async def handle(
        self, caller: networks.Caller, opened: messages.FeedOpen
    ) -> None:
        """Carries one feed from its opening to its end."""
        try:
            # A request that can't be read is found before a task relies on it.
            requests.read_request(opened.request, opened.service)
            if self._orphans.is_elsewhere(caller.host, opened):
                await caller.push(messages.FeedTaken())
                self._context.counts.add("keeper_feeds_taken_total")
                return
            found = self._find(opened)
            if isinstance(found, messages.FeedEnd):
                await self._refuse(caller, found)
                return
            await self._carry(caller, opened, found)
        except errors.PeerLinkLostError:
            return
        except errors.MalformedDatagramError as error:
            logger.warning("Feed can't be read: %s.", error)
            await self._refuse(caller, messages.FeedEnd(_Cause.REFUSED))

    def _find(
        self, opened: messages.FeedOpen
    ) -> kept_parts.KeptUpstream | messages.FeedEnd:
        held = self._orphans.find(opened)
        if held is not None:
            # Also where the role has moved: no other keeper has its events.
            return held.kept
        target = self._roles.find_target(
            opened.service, opened.revision, opened.upstream
        )
        if target is None or not self._roles.is_kept_here(target):
            # Hosts differ for a moment; the home looks again.
            return messages.FeedEnd(_Cause.MOVED)
        kept = self._upstreams.get_or_create(target)
        load = kept.read_load()
        if not kept.accepting:
            return messages.FeedEnd(_Cause.REFUSED, load=load)
        if kept.feeds >= target.upstream.connections:
            retry_s = admission.spread_s(
                _FULL_RETRY_S, self._context.randomness
            )
            return messages.FeedEnd(
                _Cause.REFUSED, retry_after_s=retry_s, load=load
            )
        return kept

    async def _refuse(
        self, caller: networks.Caller, end: messages.FeedEnd
    ) -> None:
        await caller.push(end)
        self._context.counts.add(
            "keeper_feed_ends_total", cause=end.cause.value
        )

    async def _carry(
        self,
        caller: networks.Caller,
        opened: messages.FeedOpen,
        kept: kept_parts.KeptUpstream,
    ) -> None:
        feed = await self._make_feed(caller, opened, kept)
        kept.open_feeds.add(feed)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_after, feed, caller, nursery)
                if feed.observation.state is _State.OPENING:
                    await self._open(caller, feed)
                if feed.is_open():
                    await feed.forward(caller)
                    # What ends it may be lost with the home, too.
                    await caller.wait_closed()
                nursery.cancel_scope.cancel()
        except* errors.PeerLinkLostError:
            # The push that failed tells what `receive` tells, too.
            pass
        finally:
            kept.open_feeds.discard(feed)
            self._leave(caller, feed)

    async def _make_feed(
        self,
        caller: networks.Caller,
        opened: messages.FeedOpen,
        kept: kept_parts.KeptUpstream,
    ) -> feed_parts.Feed:
        home = self._view.get(caller.host)
        former = await self._orphans.take(caller.host, opened)
        if former is not None:
            feed = feed_parts.Feed(
                self._context, opened, former.observation, kept, home
            )
            feed.resume(former)
            self._repeat_move(feed)
            return feed
        observation = observations.Observation(
            self._context, kept.endpoints.get(), opened
        )
        kept.feeds += 1
        return feed_parts.Feed(self._context, opened, observation, kept, home)

    def _repeat_move(self, feed: feed_parts.Feed) -> None:
        """Has a feed moved whose home was not there to be asked."""
        opened = feed.opened
        target = self._roles.find_target(
            opened.service, ids.Revision(0), opened.upstream
        )
        if target is None or not feed.kept.accepting:
            feed.ask_to_move(_Cause.DRAINING)
        elif not self._roles.is_kept_here(target):
            feed.ask_to_move(_Cause.MOVED)

    async def _open(
        self, caller: networks.Caller, feed: feed_parts.Feed
    ) -> None:
        kept = feed.kept
        began_at = trio.current_time()
        silence_s = kept.target.limits.upstream_timeout_s
        end = await feed.observation.open(silence_s)
        if end is _End.SILENT:
            kept.endpoints.report_silence(feed.observation.endpoint, began_at)
        if end is not _End.ANSWERED:
            kept.note_feed_trouble()
            cause = _Cause.SILENT if end is _End.SILENT else _Cause.LOST
            load = kept.read_load()
            await self._refuse(caller, messages.FeedEnd(cause, load=load))
        elif feed.observation.state is _State.ENDED:
            await self._refuse(caller, _make_refusal(feed))

    def _leave(self, caller: networks.Caller, feed: feed_parts.Feed) -> None:
        """Ends the feed at the upstream, unless its home has died."""
        lost = not caller.closed_by_caller
        if lost and feed.is_open():
            self._orphans.hold(feed)
            return
        self._context.start_soon(feed.end)


async def _cancel_after(
    feed: feed_parts.Feed, caller: networks.Caller, nursery: trio.Nursery
) -> None:
    await feed.follow_home(caller)
    nursery.cancel_scope.cancel()


def _make_refusal(feed: feed_parts.Feed) -> messages.FeedEnd:
    last = feed.observation.last
    assert last is not None
    if shedding.is_shed(last):
        feed.kept.note_shed(last)
    return messages.FeedEnd(
        _Cause.REFUSED,
        requests.write_answer(last),
        shedding.read_retry_s(last),
        feed.kept.read_load(),
    )
