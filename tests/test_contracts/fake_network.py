"""Streams between hosts in one process, with loss, cuts and counts."""

from __future__ import annotations

import collections
import contextlib
import random
from typing import Any

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers import frames
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import base

_CALL = 1000
_DELAY_S = 0.001


class FakeLinks:
    """All links between the hosts of a test.

    Attributes:
        loss: Part of the messages that are lost, 0 to 1.
        cuts: Pairs of sender and receiver that can't reach each other.
        down: Hosts that are not running.
        messages: Number of messages by sender.
        octets: Octets of messages by sender.
    """

    def __init__(self, nursery: trio.Nursery, seed: int) -> None:
        self.nursery = nursery
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.down: set[str] = set()
        self.messages: collections.Counter[str] = collections.Counter()
        self.octets: collections.Counter[str] = collections.Counter()
        self.networks: dict[str, FakeNetwork] = {}
        self._random = random.Random(seed)
        self._writer = frames.FrameWriter()

    def add(self, host: ids.HostId) -> FakeNetwork:
        """Returns the network as a host sees it."""
        self.networks[host] = FakeNetwork(self, host)
        return self.networks[host]

    def cut(self, one: set[str], other: set[str]) -> None:
        """Cuts two groups of hosts off from each other."""
        self.cuts |= {(a, b) for a in one for b in other}
        self.cuts |= {(b, a) for a in one for b in other}

    def heal(self) -> None:
        """Ends all cuts."""
        self.cuts.clear()

    def reaches(self, sender: str, receiver: str) -> bool:
        """Tells whether a link can be opened."""
        gone = receiver in self.down or sender in self.down
        return not gone and (sender, receiver) not in self.cuts

    def loses(self) -> bool:
        """Draws whether a message is lost."""
        return self._random.random() < self.loss

    def carry(self, sender: str, message: networks.M) -> networks.M:
        """Writes, counts and reads the frame of a message."""
        data = self._writer.write(frames.FrameKind.SEND, _CALL, message)
        self.messages[sender] += 1
        self.octets[sender] += len(data)
        for frame in frames.FrameReader(sender).read(data):
            return frames.read_body(frame, type(message), sender)
        raise AssertionError("not a whole frame")


class FakeNetwork:
    """Implements `network.PeerNetwork` for one host."""

    def __init__(self, links: FakeLinks, host: ids.HostId) -> None:
        self._links = links
        self._host = host
        self._handlers: dict[type[base.Message], networks.Handler[Any]] = {}

    def handle(
        self,
        message_type: type[networks.M],
        handler: networks.Handler[networks.M],
    ) -> None:
        """See `network.PeerNetwork`."""
        self._handlers[message_type] = handler

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """See `network.PeerNetwork`."""
        if not self._links.reaches(self._host, host):
            raise errors.PeerUnreachableError("cut", step="call", peer=host)
        with trio.move_on_after(timeout_s):
            question = self._links.carry(self._host, message)
            await self._travel()
            answer = await self._links.networks[host].receive(
                self._host, question
            )
            if answer is not None:
                answer = self._links.carry(host, answer)
                await self._travel()
                return answer
            await trio.sleep_forever()
        raise errors.PeerCallTimeoutError("late", step="call", peer=host)

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """See `network.PeerNetwork`."""
        if not self._links.reaches(self._host, host):
            return False
        question = self._links.carry(self._host, message)
        self._links.nursery.start_soon(self._deliver, host, question)
        return True

    def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[networks.PeerStream]:
        """See `network.PeerNetwork`."""
        raise NotImplementedError

    async def receive(
        self, sender: ids.HostId, message: base.Message
    ) -> base.Message | None:
        """Runs the handler of a message."""
        caller: Any = FakeCaller(sender)
        return await self._handlers[type(message)](caller, message)

    async def _deliver(self, host: ids.HostId, message: base.Message) -> None:
        if self._links.loses():
            return
        await trio.sleep(_DELAY_S)
        if self._links.reaches(self._host, host):
            await self._links.networks[host].receive(self._host, message)

    async def _travel(self) -> None:
        if self._links.loses():
            await trio.sleep_forever()
        await trio.sleep(_DELAY_S)


class FakeCaller:
    """The sender of a message, by its name alone."""

    def __init__(self, host: ids.HostId) -> None:
        self.host = host
