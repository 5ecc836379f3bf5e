"""Hand-over of feeds between homes without lost or repeated events."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import adoption
from persimmonhinge.flows.feeds import caller_side
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import open_messages
from persimmonhinge.flows.feeds import watches
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import feeds

logger = logging.getLogger(__name__)

_LEAVE_RETRY_INTERVAL_S = 0.2


class Handover:
    """Hands feeds over to the hosts that should be their homes."""

    def __init__(
        self,
        context: feed_context.FeedContext,
        callers: caller_side.CallerSide,
        adopt: Callable[[feed_module.Feed, port.Choice | None], None],
        remove_feed: Callable[[feed_module.Feed], None],
        end_feed: Callable[[feed_module.Feed, bytes, int], None],
        report: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self._callers = callers
        self._remove_feed = remove_feed
        self._end_feed = end_feed
        self._adoption = adoption.Adoption(
            context, callers, adopt, remove_feed, report, self.check_home
        )
        self._misplaced: dict[feed_module.Feed, None] = {}
        self._misplaced_added = trio.Event()
        self._lock = trio.Lock()
        self._leaving = False

    def check_home(self, feed: feed_module.Feed) -> None:
        """Queues a feed for hand-over if another host should be its home.

        A feed can open at this host although another host should be its home:
        a caller's ticket leads to the host that issued it even after the home
        has moved, and callers skip a home that is unreachable.
        """
        if self._find_homes(feed):
            self._misplaced[feed] = None
            self._misplaced_added.set()

    async def handle_adopt(
        self, caller: network_module.Caller, message: feeds.FeedAdopt
    ) -> feeds.Adopted:
        """Handles the request of a host that hands a feed over."""
        if self._leaving or not self._context.view.self_member.accepts_roles:
            return feeds.Adopted(False)
        feed = await self._adoption.accept_feed(caller.host, message)
        if feed is None:
            return feeds.Adopted(False)
        # If the views of the two hosts differ, this host would hand the feed
        # straight back to the sender. It instead keeps the feed until its
        # view changes again.
        if caller.host not in self._find_homes(feed):
            self.check_home(feed)
        return feeds.Adopted(True)

    async def run(self) -> None:
        """Hands misplaced feeds over until the task is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_view)
            while True:
                await self._misplaced_added.wait()
                self._misplaced_added = trio.Event()
                await self._hand_over_all()
                if self._misplaced:
                    self._misplaced_added.set()
                    await trio.sleep(self._retry_delay())

    async def leave(self) -> None:
        """Hands all feeds over and ends those that no host accepts in time."""
        self._leaving = True
        limit_s = self._context.settings.stop_limit_s * limits.LEAVE_FRACTION
        with trio.move_on_after(limit_s):
            await self._leave_in_rounds()
        for feed in self._context.table:
            self._context.counts.add("feeds_left_behind_total")
            self._end_feed(feed, b"", 0)

    async def _leave_in_rounds(self) -> None:
        while len(self._context.table) and self._has_other_hosts():
            for feed in self._context.table:
                self._misplaced[feed] = None
            await self._hand_over_all()
            await trio.sleep(_LEAVE_RETRY_INTERVAL_S)

    def _has_other_hosts(self) -> bool:
        view = self._context.view
        return any(m.host != view.me for m in view.role_candidates())

    def _retry_delay(self) -> float:
        spread = self._context.random.uniform(0.5, 1.5)
        return limits.HANDOVER_RETRY_S * spread

    async def _follow_view(self) -> None:
        changed = self._context.view.changed
        version = changed.version
        while True:
            await changed.wait_beyond(version)
            version = await self._wait_until_settled()
            await self._check_all_homes()

    async def _wait_until_settled(self) -> int:
        """Waits until the view has stopped changing, within a time limit.

        A view can flap, for example when a host is suspected and refutes the
        suspicion. Without the wait, each flap would move a part of all feeds
        away and back.

        Returns:
            Version of the view to act on.
        """
        changed = self._context.view.changed
        version = changed.version
        with trio.move_on_after(limits.MAX_SETTLE_S):
            while True:
                version = changed.version
                with trio.move_on_after(limits.SETTLE_S) as quiet_period:
                    await changed.wait_beyond(version)
                if quiet_period.cancelled_caught:
                    break
        return version

    async def _check_all_homes(self) -> None:
        for number, feed in enumerate(self._context.table):
            if number % watches.FEEDS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            self.check_home(feed)

    def _find_homes(self, feed: feed_module.Feed) -> list[ids.HostId]:
        """Returns the hosts to hand a feed over to; empty if it stays here."""
        flow = feed.flow
        ranked = self._context.placement.rank_homes(flow.service, flow.caller)
        me = self._context.view.me
        if self._leaving:
            return [m.host for m in ranked if m.host != me]
        if not ranked or ranked[0].host == me:
            return []
        return [ranked[0].host]

    async def _hand_over_all(self) -> None:
        async with self._lock:
            pending = iter(list(self._misplaced))
            failed: set[ids.HostId] = set()
            workers = min(limits.MAX_CONCURRENT_HANDOVERS, len(self._misplaced))
            async with trio.open_nursery() as nursery:
                for _ in range(workers):
                    nursery.start_soon(self._hand_over_each, pending, failed)

    async def _hand_over_each(
        self, pending: Iterator[feed_module.Feed], failed: set[ids.HostId]
    ) -> None:
        for feed in pending:
            await trio.lowlevel.checkpoint()
            if feed.closed:
                self._misplaced.pop(feed, None)
                continue
            homes = self._find_homes(feed)
            if not homes or await self._try_homes(feed, homes, failed):
                self._misplaced.pop(feed, None)

    async def _try_homes(
        self,
        feed: feed_module.Feed,
        homes: list[ids.HostId],
        failed: set[ids.HostId],
    ) -> bool:
        if feed.source is None or feed.prepared:
            # No upstream serves the feed here yet, or the former home is
            # still handing it over to this host.
            return False
        for home in homes:
            if home in failed:
                continue
            try:
                if await self._hand_over(feed, home):
                    return True
            except errors.PeerError as error:
                failed.add(home)
                logger.info(
                    "Hand-over of feeds failed; will be retried: %s.", error
                )
        return False

    async def _hand_over(
        self, feed: feed_module.Feed, home: ids.HostId
    ) -> bool:
        if not await self._send_adopt(feed, home, prepares=True):
            return False
        if feed.closed:
            # The keeper has meanwhile handed the feed over to another home,
            # or to this host.
            return False
        self._callers.hold_answers(feed)
        accepted = False
        try:
            accepted = await self._send_adopt(feed, home, prepares=False)
        finally:
            if not accepted and not feed.closed:
                self._callers.release_answers(feed)
        if accepted and not feed.closed:
            self._context.counts.add("feeds_handed_over_total")
            self._remove_feed(feed)
        return accepted

    async def _send_adopt(
        self, feed: feed_module.Feed, home: ids.HostId, *, prepares: bool
    ) -> bool:
        # The new home chooses its own upstream.
        opened = open_messages.make_open_message(
            feed, ids.UpstreamId(""), ids.Revision(0)
        )
        message = feeds.FeedAdopt(opened, prepares)
        network = self._context.network
        reply = await network.call(home, message, limits.ADOPT_CALL_TIMEOUT_S)
        return isinstance(reply, feeds.Adopted) and reply.accepted
