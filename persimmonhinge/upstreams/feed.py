"""A feed between its home and its upstream."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.membership import member as members
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.upstreams import context as contexts
from persimmonhinge.upstreams import given_events
from persimmonhinge.upstreams import kept as kept_parts
from persimmonhinge.upstreams import observation as observations
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import transfer as transfers

logger = logging.getLogger(__name__)

_Cause = messages.FeedEndCause
_State = observations.ObservationState


class Feed:
    """Passes notifications of an observation on to a home.

    Attributes:
        opened: What the home asked for; the newest it told of the caller.
        observation: The feed at the upstream.
        kept: The upstream.
        home: The home as it was known when it opened the feed.
        given: What homes were given.
    """

    def __init__(
        self,
        context: contexts.KeeperContext,
        opened: messages.FeedOpen,
        observation: observations.Observation,
        kept: kept_parts.KeptUpstream,
        home: members.Member | None,
    ) -> None:
        self.opened = opened
        self.observation = observation
        self.kept = kept
        self.home = home
        self.given = given_events.GivenEvents(opened, context.event_budget)
        self._context = context
        self._due: messages.FeedEndCause | None = None
        self._told: messages.FeedEndCause | None = None
        self._replays: list[messages.FeedEvent] = []
        self._gave_last = False
        self._collecting: trio.CancelScope | None = None
        self._collected: trio.Event | None = None

    def resume(self, former: Feed) -> None:
        """Goes on where the stream to a former home, or to this one, ended."""
        self._due = former._told or former._due
        self._gave_last = former._gave_last
        self.given = former.given
        self._replays = self.given.resume(self.opened)

    def is_open(self) -> bool:
        """Tells whether a home has something to take from it."""
        if self.observation.state is _State.OPEN:
            return True
        return not self.given.is_empty

    def ask_to_move(self, cause: messages.FeedEndCause) -> None:
        """Has the home asked to move the feed; events go on meanwhile."""
        if self._told is None and self._due is None:
            self._due = cause
            self.observation.wake()

    def doubt(self, silent_since: float) -> None:
        """Has the feed checked as if it were silent since a time."""
        self.observation.heard_at = min(self.observation.heard_at, silent_since)
        self.observation.wake()

    def begin_collecting(self) -> None:
        """Takes in what comes while no home has the feed.

        Guards against large states that are gone when the next home opens the
        feed: an upstream gives later blocks of the newest one alone.
        """
        self._collecting = trio.CancelScope()
        self._context.start_soon(self._collect, self._collecting)

    async def _collect(self, scope: trio.CancelScope) -> None:
        self._collected = trio.Event()
        try:
            with scope:
                while self.observation.state is _State.OPEN:
                    await self.observation.wait_news()
                    while (answer := self.observation.take()) is not None:
                        await self._take_in(answer)
        finally:
            self._collected.set()

    async def stop_collecting(self) -> None:
        """Returns once nothing more is taken in without a home."""
        if self._collecting is not None:
            self._collecting.cancel()
        if self._collected is not None:
            await self._collected.wait()

    async def end(self) -> None:
        """Cancels the feed at its upstream; it counts until that is done."""
        await self.stop_collecting()
        silence_s = self.kept.target.limits.upstream_timeout_s
        try:
            await self.observation.cancel(silence_s)
        finally:
            self.given.clear()
            self.kept.feeds -= 1

    def describe(self) -> messages.FeedOpen:
        """Returns the feed as another home is to open it."""
        return self.given.describe(self.opened)

    async def follow_home(self, caller: networks.Caller) -> None:
        """Takes in what the home says, until it closes the call."""
        try:
            while True:
                message = await caller.receive()
                if isinstance(message, messages.FeedAck):
                    self.given.note_ack(message)
        except errors.PeerLinkLostError:
            return

    async def forward(self, caller: networks.Caller) -> None:
        """Pushes notifications until the feed ends at the upstream.

        Raises:
            PeerLinkLostError: The home is gone.
        """
        await self._push_replays(caller)
        while True:
            await self._push_waiting(caller)
            if self._due is not None:
                await self._push_end(caller)
            if self.observation.state is not _State.OPEN:
                await self._push_lost(caller)
                return
            if not await self._wait():
                self._find_silent()

    async def _push_replays(self, caller: networks.Caller) -> None:
        replays, self._replays = self._replays, []
        for event in replays:
            await caller.push(event)
        self._context.counts.add("feed_events_replayed_total", len(replays))

    async def _push_waiting(self, caller: networks.Caller) -> None:
        while (answer := self.observation.take()) is not None:
            event = await self._take_in(answer)
            if event is not None:
                await caller.push(event)
                self._context.counts.add("feed_events_total")

    async def _take_in(
        self, answer: codec.Message
    ) -> messages.FeedEvent | None:
        """Returns the event of a notification, None if it can't be had."""
        # Not cancelled with the link: later, only a newer state is left.
        with trio.CancelScope(shield=True):
            whole = await self._complete(answer)
        if whole is None:
            self._context.counts.add("feed_events_incomplete_total")
            return None
        return self.given.add(requests.write_answer(whole))

    async def _complete(self, answer: codec.Message) -> codec.Message | None:
        """Returns a notification with its whole body."""
        block2 = answer.opt.block2
        if block2 is None or not block2.more:
            whole = requests.copy_message(answer)
            whole.opt.observe = None
            whole.opt.block2 = None
            return whole
        silence_s = self.kept.target.limits.upstream_timeout_s
        transfer = transfers.Transfer(
            self.observation.endpoint,
            requests.read_request(self.opened.request, self.opened.service),
            trio.current_time() + silence_s,
            silence_s,
            self._context.timers,
            self._context.randomness,
        )
        return await transfer.fetch_rest(answer)

    async def _push_end(self, caller: networks.Caller) -> None:
        assert self._due is not None
        self._told, self._due = self._due, None
        load = self.kept.read_load()
        await caller.push(messages.FeedEnd(self._told, load=load))
        self._context.counts.add(
            "keeper_feed_ends_total", cause=self._told.value
        )

    async def _push_lost(self, caller: networks.Caller) -> None:
        last = self.observation.last
        answer = b""
        if last is not None and not last.code.is_successful():
            answer = requests.write_answer(last)
        elif last is not None and not self._gave_last:
            await self._push_last(caller, last)
        load = self.kept.read_load()
        await caller.push(messages.FeedEnd(_Cause.LOST, answer, load=load))
        self._context.counts.add(
            "keeper_feed_ends_total", cause=_Cause.LOST.value
        )

    async def _push_last(
        self, caller: networks.Caller, last: codec.Message
    ) -> None:
        self._gave_last = True
        event = await self._take_in(last)
        if event is not None:
            await caller.push(event)

    async def _wait(self) -> bool:
        """Waits for something to push; checks a feed that is silent.

        Returns:
            False if the feed is silent and does not answer.
        """
        silent_s = self.kept.target.limits.silent_feed_s
        with trio.move_on_at(self.observation.heard_at + silent_s) as scope:
            await self.observation.wait_news()
        if not scope.cancelled_caught:
            return True
        if self.observation.heard_at + silent_s > trio.current_time():
            return True
        async with self.kept.checks:
            return await self._check()

    async def _check(self) -> bool:
        limits = self.kept.target.limits
        limit_s = min(limits.upstream_timeout_s, limits.silent_feed_s)
        began_at = trio.current_time()
        self._context.counts.add("feed_checks_total")
        if await self.observation.check(limit_s):
            return True
        self.kept.endpoints.report_silence(self.observation.endpoint, began_at)
        return False

    def _find_silent(self) -> None:
        """Has a silent feed moved.

        Guards against feeds that go silent for good while new work is
        answered, because something between the two ends has lost track of
        them. It shows only on the feed's own token, so that is where the
        upstream was asked.
        """
        # Counts as a sign, so that the next check comes after the full time.
        self.observation.heard_at = trio.current_time()
        if self._told is not _Cause.SILENT:
            self._context.counts.add("feeds_silent_total")
            self.ask_to_move(_Cause.SILENT)
