"""Moves feeds between homes, without gap or repeat for the caller."""

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
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import outline
from persimmonhinge.flows.feeds import surroundings
from persimmonhinge.flows.feeds import watches
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import feeds as messages

logger = logging.getLogger(__name__)

_LEAVE_RETRY_S = 0.2


class Handover:
    """Hands feeds to their home when that is another host."""

    def __init__(
        self,
        around: surroundings.Surroundings,
        callers: caller_side.CallerSide,
        adopt: Callable[[feeds.Feed, port.Choice | None], None],
        forget: Callable[[feeds.Feed], None],
        end: Callable[[feeds.Feed, bytes, int], None],
        report: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self._callers = callers
        self._forget = forget
        self._end = end
        self._adoption = adoption.Adoption(
            around, callers, adopt, forget, report, self.note
        )
        self._misplaced: dict[feeds.Feed, None] = {}
        self._noted = trio.Event()
        self._lock = trio.Lock()
        self._leaving = False

    def note(self, feed: feeds.Feed) -> None:
        """Looks whether a feed that opens here belongs elsewhere.

        A caller's ticket leads to the host that made it also after the home
        has moved, and a home that can't be reached is passed over.
        """
        if self._find_homes(feed):
            self._misplaced[feed] = None
            self._noted.set()

    async def take(
        self, caller: networks.Caller, message: messages.FeedAdopt
    ) -> messages.Adopted:
        """Answers a host that hands a feed over."""
        if self._leaving or not self._around.view.self_member.accepts_roles:
            return messages.Adopted(False)
        feed = await self._adoption.take(caller.host, message)
        if feed is None:
            return messages.Adopted(False)
        # A host whose view differs hands over to this one what this one
        # would hand back: that waits for the next change of the view.
        if caller.host not in self._find_homes(feed):
            self.note(feed)
        return messages.Adopted(True)

    async def run(self) -> None:
        """Follows the view until it is cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_view)
            while True:
                await self._noted.wait()
                self._noted = trio.Event()
                await self._hand_over_all()
                if self._misplaced:
                    self._noted.set()
                    await trio.sleep(self._retry_delay())

    async def leave(self) -> None:
        """Hands all feeds over, and sends away what no host takes."""
        self._leaving = True
        limit_s = self._around.settings.stop_limit_s * limits.LEAVE_PART
        with trio.move_on_after(limit_s):
            await self._leave_in_rounds()
        for feed in self._around.table:
            self._around.counts.add("feeds_left_behind_total")
            self._end(feed, b"", 0)

    async def _leave_in_rounds(self) -> None:
        while len(self._around.table) and self._has_other_hosts():
            for feed in self._around.table:
                self._misplaced[feed] = None
            await self._hand_over_all()
            await trio.sleep(_LEAVE_RETRY_S)

    def _has_other_hosts(self) -> bool:
        view = self._around.view
        return any(m.host != view.me for m in view.role_candidates())

    def _retry_delay(self) -> float:
        spread = self._around.random.uniform(0.5, 1.5)
        return limits.HANDOVER_RETRY_S * spread

    async def _follow_view(self) -> None:
        changed = self._around.view.changed
        version = changed.version
        while True:
            await changed.wait_beyond(version)
            version = await self._settle()
            await self._note_all()

    async def _settle(self) -> int:
        """Waits until the view rests.

        Guards against a view that flaps, as when a host is suspected and
        refutes it: each flap would move a part of all feeds to and fro.

        Returns:
            Version of the view that is to be followed.
        """
        changed = self._around.view.changed
        version = changed.version
        with trio.move_on_after(limits.SETTLE_LIMIT_S):
            while True:
                version = changed.version
                with trio.move_on_after(limits.SETTLE_S) as rest:
                    await changed.wait_beyond(version)
                if rest.cancelled_caught:
                    break
        return version

    async def _note_all(self) -> None:
        for number, feed in enumerate(self._around.table):
            if number % watches.STRIDE == 0:
                await trio.lowlevel.checkpoint()
            self.note(feed)

    def _find_homes(self, feed: feeds.Feed) -> list[ids.HostId]:
        """Returns the hosts that are to have a feed; none if it stays."""
        flow = feed.flow
        ranked = self._around.placement.rank_homes(flow.service, flow.caller)
        me = self._around.view.me
        if self._leaving:
            return [m.host for m in ranked if m.host != me]
        if not ranked or ranked[0].host == me:
            return []
        return [ranked[0].host]

    async def _hand_over_all(self) -> None:
        async with self._lock:
            work = iter(list(self._misplaced))
            failed: set[ids.HostId] = set()
            workers = min(limits.HANDOVERS_AT_A_TIME, len(self._misplaced))
            async with trio.open_nursery() as nursery:
                for _ in range(workers):
                    nursery.start_soon(self._work_through, work, failed)

    async def _work_through(
        self, work: Iterator[feeds.Feed], failed: set[ids.HostId]
    ) -> None:
        for feed in work:
            await trio.lowlevel.checkpoint()
            if feed.closed:
                self._misplaced.pop(feed, None)
                continue
            homes = self._find_homes(feed)
            if not homes or await self._try_homes(feed, homes, failed):
                self._misplaced.pop(feed, None)

    async def _try_homes(
        self,
        feed: feeds.Feed,
        homes: list[ids.HostId],
        failed: set[ids.HostId],
    ) -> bool:
        if feed.source is None or feed.prepared:
            # It has yet to be opened here, or is itself being handed over.
            return False
        for home in homes:
            if home in failed:
                continue
            try:
                if await self._hand_over(feed, home):
                    return True
            except errors.PeerError as error:
                failed.add(home)
                logger.info("Feeds stay here for now: %s.", error)
        return False

    async def _hand_over(self, feed: feeds.Feed, home: ids.HostId) -> bool:
        if not await self._ask(feed, home, prepares=True):
            return False
        if feed.closed:
            # Its keeper gave it to another home meanwhile, or to this one.
            return False
        self._callers.hold(feed)
        accepted = False
        try:
            accepted = await self._ask(feed, home, prepares=False)
        finally:
            if not accepted and not feed.closed:
                self._callers.release(feed)
        if accepted and not feed.closed:
            self._around.counts.add("feeds_handed_over_total")
            self._forget(feed)
        return accepted

    async def _ask(
        self, feed: feeds.Feed, home: ids.HostId, *, prepares: bool
    ) -> bool:
        # The new home chooses its own upstream.
        opened = outline.make_open(feed, ids.UpstreamId(""), ids.Revision(0))
        message = messages.FeedAdopt(opened, prepares)
        network = self._around.network
        reply = await network.call(home, message, limits.ADOPT_CALL_S)
        return isinstance(reply, messages.Adopted) and reply.accepted
