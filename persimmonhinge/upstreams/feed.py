"""One feed: forwards notifications of an upstream to the home."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.membership import member
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import event_stream
from persimmonhinge.upstreams import kept_upstream
from persimmonhinge.upstreams import observation as observation_module
from persimmonhinge.upstreams import requests
from persimmonhinge.upstreams import transfer as transfer_module

logger = logging.getLogger(__name__)

_Cause = feeds.FeedEndCause
_State = observation_module.ObservationState


class Feed:
    """Forwards the notifications of an observation to a home.

    Attributes:
        open_message: Message with which the home opened the feed; it says
            which events the caller was sent.
        observation: Observation at the upstream.
        upstream: The upstream.
        home: Membership entry of the home when it opened the feed; None if
            the home was unknown.
        events: Numbers the events and stores those that are unconfirmed.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        open_message: feeds.FeedOpen,
        observation: observation_module.Observation,
        upstream: kept_upstream.KeptUpstream,
        home: member.Member | None,
    ) -> None:
        self.open_message = open_message
        self.observation = observation
        self.upstream = upstream
        self.home = home
        self.events = event_stream.EventStream(
            open_message, context.event_budget
        )
        self._context = context
        self._pending_end: feeds.FeedEndCause | None = None
        self._sent_end: feeds.FeedEndCause | None = None
        self._replays: list[feeds.FeedEvent] = []
        self._final_event_sent = False
        self._collecting: trio.CancelScope | None = None
        self._collected: trio.Event | None = None

    def resume(self, former: Feed) -> None:
        """Continues a feed whose link to its home was lost.

        Args:
            former: The feed as it was served to a former home or to this one.
        """
        self._pending_end = former._sent_end or former._pending_end
        self._final_event_sent = former._final_event_sent
        self.events = former.events
        self._replays = self.events.resume(self.open_message)

    def is_open(self) -> bool:
        """Returns whether the feed has or may get events for a home."""
        if self.observation.state is _State.OPEN:
            return True
        return not self.events.is_empty

    def request_move(self, cause: feeds.FeedEndCause) -> None:
        """Requests the home to move the feed; events continue meanwhile."""
        if self._sent_end is None and self._pending_end is None:
            self._pending_end = cause
            self.observation.wake()

    def request_check(self, silent_since: float) -> None:
        """Causes a check of the feed, as if it were silent since a time."""
        self.observation.last_received_at = min(
            self.observation.last_received_at, silent_since
        )
        self.observation.wake()

    def start_collecting(self) -> None:
        """Starts to collect notifications while no home has the feed.

        Large notifications are fetched at once: an upstream sends later
        blocks only of its newest state, so an older one could no longer be
        fetched when the next home opens the feed.
        """
        self._collecting = trio.CancelScope()
        self._context.start_soon(self._collect, self._collecting)

    async def _collect(self, scope: trio.CancelScope) -> None:
        self._collected = trio.Event()
        try:
            with scope:
                while self.observation.state is _State.OPEN:
                    await self.observation.wait_for_change()
                    while (
                        answer := self.observation.pop_notification()
                    ) is not None:
                        await self._add_event(answer)
        finally:
            self._collected.set()

    async def stop_collecting(self) -> None:
        """Stops collecting and waits until the current event is stored."""
        if self._collecting is not None:
            self._collecting.cancel()
        if self._collected is not None:
            await self._collected.wait()

    async def cancel(self) -> None:
        """Cancels the feed at its upstream.

        Until that is done, the feed occupies a connection of the upstream.
        """
        await self.stop_collecting()
        silence_s = self.upstream.target.limits.upstream_timeout_s
        try:
            await self.observation.cancel(silence_s)
        finally:
            self.events.clear()
            self.upstream.feed_count -= 1

    def make_feed_open(self) -> feeds.FeedOpen:
        """Returns the message with which another home is to open the feed."""
        return self.events.make_feed_open(self.open_message)

    async def receive_acknowledgements(self, caller: network.Caller) -> None:
        """Records acknowledgements of the home until the call is closed."""
        try:
            while True:
                message = await caller.receive()
                if isinstance(message, feeds.FeedAck):
                    self.events.record_acknowledgement(message)
        except errors.PeerLinkLostError:
            return

    async def forward(self, caller: network.Caller) -> None:
        """Pushes notifications until the feed ends at the upstream.

        Raises:
            PeerLinkLostError: The link to the home was lost.
        """
        await self._push_replays(caller)
        while True:
            await self._push_notifications(caller)
            if self._pending_end is not None:
                await self._push_end(caller)
            if self.observation.state is not _State.OPEN:
                await self._push_lost_end(caller)
                return
            if not await self._wait_for_notification():
                self._handle_silence()

    async def _push_replays(self, caller: network.Caller) -> None:
        replays, self._replays = self._replays, []
        for event in replays:
            await caller.push(event)
        self._context.counts.add("feed_events_replayed_total", len(replays))

    async def _push_notifications(self, caller: network.Caller) -> None:
        while (answer := self.observation.pop_notification()) is not None:
            event = await self._add_event(answer)
            if event is not None:
                await caller.push(event)
                self._context.counts.add("feed_events_total")

    async def _add_event(self, answer: codec.Message) -> feeds.FeedEvent | None:
        """Stores the event of a notification; returns None if incomplete."""
        # Not cancelled when the link is lost, because later blocks of this
        # state cannot be fetched once the upstream has a newer one.
        with trio.CancelScope(shield=True):
            whole = await self._fetch_whole(answer)
        if whole is None:
            self._context.counts.add("feed_events_incomplete_total")
            return None
        return self.events.add(requests.encode_answer(whole))

    async def _fetch_whole(self, answer: codec.Message) -> codec.Message | None:
        """Returns a notification with its whole body; None if that fails."""
        block2 = answer.opt.block2
        if block2 is None or not block2.more:
            whole = requests.copy_message(answer)
            whole.opt.observe = None
            whole.opt.block2 = None
            return whole
        silence_s = self.upstream.target.limits.upstream_timeout_s
        transfer = transfer_module.Transfer(
            self.observation.endpoint,
            requests.decode_request(
                self.open_message.request, self.open_message.service
            ),
            trio.current_time() + silence_s,
            silence_s,
            self._context.timers,
            self._context.randomness,
        )
        return await transfer.fetch_remaining_blocks(answer)

    async def _push_end(self, caller: network.Caller) -> None:
        assert self._pending_end is not None
        self._sent_end, self._pending_end = self._pending_end, None
        load = self.upstream.read_load()
        await caller.push(feeds.FeedEnd(self._sent_end, load=load))
        self._context.counts.add(
            "keeper_feed_ends_total", cause=self._sent_end.value
        )

    async def _push_lost_end(self, caller: network.Caller) -> None:
        final = self.observation.final_answer
        answer = b""
        if final is not None and not final.code.is_successful():
            answer = requests.encode_answer(final)
        elif final is not None and not self._final_event_sent:
            await self._push_final_event(caller, final)
        load = self.upstream.read_load()
        await caller.push(feeds.FeedEnd(_Cause.LOST, answer, load=load))
        self._context.counts.add(
            "keeper_feed_ends_total", cause=_Cause.LOST.value
        )

    async def _push_final_event(
        self, caller: network.Caller, final_answer: codec.Message
    ) -> None:
        self._final_event_sent = True
        event = await self._add_event(final_answer)
        if event is not None:
            await caller.push(event)

    async def _wait_for_notification(self) -> bool:
        """Waits for something to push; checks the feed if it is silent.

        Returns:
            False if the feed is silent and the check gets no answer.
        """
        silent_s = self.upstream.target.limits.silent_feed_s
        with trio.move_on_at(
            self.observation.last_received_at + silent_s
        ) as scope:
            await self.observation.wait_for_change()
        if not scope.cancelled_caught:
            return True
        if self.observation.last_received_at + silent_s > trio.current_time():
            return True
        async with self.upstream.check_limiter:
            return await self._check_upstream()

    async def _check_upstream(self) -> bool:
        limits = self.upstream.target.limits
        limit_s = min(limits.upstream_timeout_s, limits.silent_feed_s)
        started_at = trio.current_time()
        self._context.counts.add("feed_checks_total")
        if await self.observation.check(limit_s):
            return True
        self.upstream.endpoints.replace_if_silent(
            self.observation.endpoint, started_at
        )
        return False

    def _handle_silence(self) -> None:
        """Requests the home to move a feed that failed its check.

        A feed may stay silent permanently although new requests are answered,
        because something between the keeper and the upstream has lost its
        entry for the feed. Only a check with the token of the feed detects
        this.
        """
        # Delays the next check by the whole silence limit.
        self.observation.last_received_at = trio.current_time()
        if self._sent_end is not _Cause.SILENT:
            self._context.counts.add("feeds_silent_total")
            self.request_move(_Cause.SILENT)
