"""Serves the feeds that homes open at this keeper."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import view as view_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import feeds
from persimmonhinge.policies import admission
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import exchange
from persimmonhinge.upstreams import feed as feed_module
from persimmonhinge.upstreams import kept_upstream
from persimmonhinge.upstreams import observation as observation_module
from persimmonhinge.upstreams import orphaned_feeds
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import roles as roles_module
from persimmonhinge.upstreams import shedding
from persimmonhinge.upstreams import upstreams as upstreams_module

logger = logging.getLogger(__name__)

# Base of the retry delay if the upstream has no free connection.
_FULL_RETRY_S = 2

_Cause = feeds.FeedEndCause
_Status = exchange.ExchangeStatus
_State = observation_module.ObservationState


class FeedServer:
    """Opens each feed at its upstream and serves it until its home closes it.

    Each feed has two tasks: one receives messages of the home, the other
    forwards notifications of the upstream.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        view: view_module.View,
        roles: roles_module.Roles,
        upstreams: upstreams_module.KeptUpstreams,
        orphans: orphaned_feeds.OrphanedFeeds,
    ) -> None:
        self._context = context
        self._view = view
        self._roles = roles
        self._upstreams = upstreams
        self._orphans = orphans

    async def handle(
        self, caller: network.Caller, open_message: feeds.FeedOpen
    ) -> None:
        """Serves one feed from its opening to its end."""
        try:
            # Detects a malformed request before any task decodes it.
            requests.decode_request(open_message.request, open_message.service)
            if self._orphans.has_other_home(caller.host, open_message):
                await caller.push(feeds.FeedTaken())
                self._context.counts.add("keeper_feeds_taken_total")
                return
            found = self._find_upstream(open_message)
            if isinstance(found, feeds.FeedEnd):
                await self._send_end(caller, found)
                return
            await self._serve_feed(caller, open_message, found)
        except errors.PeerLinkLostError:
            return
        except errors.MalformedDatagramError as error:
            logger.warning("Feed refused: its request is malformed: %s.", error)
            await self._send_end(caller, feeds.FeedEnd(_Cause.REFUSED))

    def _find_upstream(
        self, open_message: feeds.FeedOpen
    ) -> kept_upstream.KeptUpstream | feeds.FeedEnd:
        held = self._orphans.find(open_message)
        if held is not None:
            # This also applies if the role of keeper has moved, because no
            # other keeper has the events of the feed.
            return held.upstream
        target = self._roles.find_target(
            open_message.service, open_message.revision, open_message.upstream
        )
        if target is None or not self._roles.is_kept_here(target):
            # The views of the two hosts differ for a moment; the home
            # determines the keeper again.
            return feeds.FeedEnd(_Cause.MOVED)
        upstream = self._upstreams.get_or_create(target)
        load = upstream.read_load()
        if not upstream.is_accepting:
            return feeds.FeedEnd(_Cause.REFUSED, load=load)
        if upstream.feed_count >= target.upstream.connections:
            retry_s = admission.add_jitter_s(
                _FULL_RETRY_S, self._context.randomness
            )
            return feeds.FeedEnd(
                _Cause.REFUSED, retry_after_s=retry_s, load=load
            )
        return upstream

    async def _send_end(
        self, caller: network.Caller, end: feeds.FeedEnd
    ) -> None:
        await caller.push(end)
        self._context.counts.add(
            "keeper_feed_ends_total", cause=end.cause.value
        )

    async def _serve_feed(
        self,
        caller: network.Caller,
        open_message: feeds.FeedOpen,
        upstream: kept_upstream.KeptUpstream,
    ) -> None:
        feed = await self._make_feed(caller, open_message, upstream)
        upstream.open_feeds.add(feed)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_when_closed, feed, caller, nursery)
                if feed.observation.state is _State.OPENING:
                    await self._open_feed(caller, feed)
                if feed.is_open():
                    await feed.forward(caller)
                    # The home may fail before it receives the end of the feed.
                    await caller.wait_closed()
                nursery.cancel_scope.cancel()
        except* errors.PeerLinkLostError:
            # Both tasks of the feed may report the loss of the same link.
            pass
        finally:
            upstream.open_feeds.discard(feed)
            self._close_feed(caller, feed)

    async def _make_feed(
        self,
        caller: network.Caller,
        open_message: feeds.FeedOpen,
        upstream: kept_upstream.KeptUpstream,
    ) -> feed_module.Feed:
        home = self._view.get(caller.host)
        former = await self._orphans.claim(caller.host, open_message)
        if former is not None:
            feed = feed_module.Feed(
                self._context, open_message, former.observation, upstream, home
            )
            feed.resume(former)
            self._request_missed_move(feed)
            return feed
        observation = observation_module.Observation(
            self._context, upstream.endpoints.get(), open_message
        )
        upstream.feed_count += 1
        return feed_module.Feed(
            self._context, open_message, observation, upstream, home
        )

    def _request_missed_move(self, feed: feed_module.Feed) -> None:
        """Requests a feed to be moved if its home missed the request."""
        open_message = feed.open_message
        target = self._roles.find_target(
            open_message.service, ids.Revision(0), open_message.upstream
        )
        if target is None or not feed.upstream.is_accepting:
            feed.request_move(_Cause.DRAINING)
        elif not self._roles.is_kept_here(target):
            feed.request_move(_Cause.MOVED)

    async def _open_feed(
        self, caller: network.Caller, feed: feed_module.Feed
    ) -> None:
        upstream = feed.upstream
        started_at = trio.current_time()
        silence_s = upstream.target.limits.upstream_timeout_s
        status = await feed.observation.open(silence_s)
        if status is _Status.SILENT:
            upstream.endpoints.replace_if_silent(
                feed.observation.endpoint, started_at
            )
        if status is not _Status.ANSWERED:
            upstream.record_feed_failure()
            cause = _Cause.SILENT if status is _Status.SILENT else _Cause.LOST
            load = upstream.read_load()
            await self._send_end(caller, feeds.FeedEnd(cause, load=load))
        elif feed.observation.state is _State.ENDED:
            await self._send_end(caller, _make_refusal(feed))

    def _close_feed(
        self, caller: network.Caller, feed: feed_module.Feed
    ) -> None:
        """Cancels the feed, or holds it if the link to its home was lost."""
        is_home_lost = not caller.closed_by_caller
        if is_home_lost and feed.is_open():
            self._orphans.hold(feed)
            return
        self._context.start_soon(feed.cancel)


async def _cancel_when_closed(
    feed: feed_module.Feed, caller: network.Caller, nursery: trio.Nursery
) -> None:
    await feed.receive_acknowledgements(caller)
    nursery.cancel_scope.cancel()


def _make_refusal(feed: feed_module.Feed) -> feeds.FeedEnd:
    refusal = feed.observation.final_answer
    assert refusal is not None
    if shedding.is_shed(refusal):
        feed.upstream.handle_shed(refusal)
    return feeds.FeedEnd(
        _Cause.REFUSED,
        requests.encode_answer(refusal),
        shedding.read_retry_s(refusal),
        feed.upstream.read_load(),
    )
