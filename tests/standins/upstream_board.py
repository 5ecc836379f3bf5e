"""The feed of an upstream stand-in: a board of ticks of the wall clock."""

from __future__ import annotations

import dataclasses
import json
import time

import aiocoap
import trio

from persimmonhinge.coap import codec
from tests.standins import upstream_server
from tests.standins import upstream_state

_OBSERVE_NUMBERS = 1 << 24
_CONFIRMABLE_EACH = 10
# Between ticks that a busy machine made late: one must not pass the other.
_CATCH_UP_S = 0.01


@dataclasses.dataclass(slots=True)
class _Observer:
    source: upstream_server.Source
    token: bytes
    sent: int = 0
    last_id: int = -1
    silent: bool = False


class Board:
    """Publishes the same ticks as all other upstreams at the same time.

    No tick is left out or published twice, also where the machine is late:
    a gap that a caller sees is none of the upstream's.
    """

    def __init__(self, state: upstream_state.UpstreamState) -> None:
        self.server: upstream_server.CoapServer | None = None
        self._state = state
        self._interval_s = state.settings.feed_interval_ms / 1000
        self._tick = self._read_clock()
        self._observers: dict[
            tuple[upstream_server.Source, bytes], _Observer
        ] = {}

    async def run(self) -> None:
        """Sends each tick to all observers, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                left_s = self._interval_s - time.time() % self._interval_s
                await trio.sleep(left_s)
                while self._tick < self._read_clock():
                    self._tick += 1
                    await self._publish(nursery)
                    await trio.sleep(_CATCH_UP_S)

    async def _publish(self, nursery: trio.Nursery) -> None:
        for observer in list(self._observers.values()):
            if not observer.silent:
                await self._notify(observer, nursery)

    def _read_clock(self) -> int:
        return int(time.time() / self._interval_s)

    def silence(self) -> None:
        """Makes the feeds that are open now go silent for good."""
        for observer in self._observers.values():
            observer.silent = True

    def reset(self, source: upstream_server.Source, message_id: int) -> None:
        """Ends the feed whose notification was reset."""
        for key, observer in list(self._observers.items()):
            if observer.source == source and observer.last_id == message_id:
                self._remove(key)

    def answer(self, request: upstream_server.Request) -> codec.Message | None:
        """Answers a GET, with or without Observe."""
        message = request.message
        key = (request.source, message.token)
        known = self._observers.get(key)
        if known is not None and known.silent:
            return None
        observe = message.opt.observe
        if observe == 1 and known is not None:
            self._remove(key)
        if observe != 0:
            return self._make_tick(observed=False)
        if known is None:
            refusal = self._refuse()
            if refusal is not None:
                return refusal
            self._observers[key] = _Observer(request.source, message.token)
            self._state.count_feed(1)
        return self._make_tick(observed=True)

    def _refuse(self) -> codec.Message | None:
        if self._state.draining:
            self._state.counts["sheds"] += 1
            return make_refusal(60, b"draining")
        if self._state.feeds >= self._state.settings.connections:
            self._state.counts["excess_feeds"] += 1
            self._state.append("excess-feed")
            return make_refusal(1, b"no connection is free")
        return None

    async def _notify(self, observer: _Observer, nursery: trio.Nursery) -> None:
        assert self.server is not None
        message = self._make_tick(observed=True)
        message.token = observer.token
        observer.sent += 1
        if observer.sent % _CONFIRMABLE_EACH == 0:
            nursery.start_soon(self._notify_confirmable, observer, message)
            return
        message.mtype = aiocoap.NON
        message.mid = self.server.next_message_id()
        observer.last_id = message.mid
        await self.server.send(message, observer.source)

    async def _notify_confirmable(
        self, observer: _Observer, message: codec.Message
    ) -> None:
        assert self.server is not None
        # The id is given when it is sent; a reset ends the feed, too.
        observer.last_id = self.server.peek_message_id()
        reached = await self.server.send_confirmable(message, observer.source)
        if not reached:
            self._remove((observer.source, observer.token))

    def _remove(self, key: tuple[upstream_server.Source, bytes]) -> None:
        if self._observers.pop(key, None) is not None:
            self._state.count_feed(-1)

    def _make_tick(self, *, observed: bool) -> codec.Message:
        payload = json.dumps({"tick": self._tick}).encode()
        message = codec.Message(code=aiocoap.CONTENT, payload=payload)
        if observed:
            message.opt.observe = self._tick % _OBSERVE_NUMBERS
        return message


def make_refusal(max_age_s: int, reason: bytes) -> codec.Message:
    """Returns a 5.03 that says when to come back."""
    message = codec.Message(code=aiocoap.SERVICE_UNAVAILABLE, payload=reason)
    message.opt.max_age = max_age_s
    return message
