"""An in-memory network with seeded random loss, delays and duplicates."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
import math
import random

import trio

Address = tuple[str, int]

_DELAY_S = 0.001
_JITTER_S = 0.002
_DUPLICATE_RATE = 0.02


class LossyNetwork:
    """Carries datagrams between ports with delay, duplication and loss.

    Attributes:
        loss: Fraction of the datagrams that is lost, 0 to 1.
        is_blocked: Returns whether datagrams from one address to another are
            dropped.
        sent: Number of datagrams sent.
        sent_octets: Total size of the datagrams sent, octets.
    """

    def __init__(self, randomness: random.Random, loss: float = 0.0) -> None:
        self.loss = loss
        self.is_blocked: Callable[[Address, Address], bool] = lambda a, b: False
        self.sent = 0
        self.sent_octets = 0
        self._randomness = randomness
        self._ports: dict[Address, LossyPort] = {}
        self._nursery: trio.Nursery | None = None
        self._recording: Recording | None = None

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Carries datagrams until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def start_recording(self) -> Recording:
        """Starts to record the datagrams that are sent."""
        self._recording = Recording(self)
        return self._recording

    def open(self, address: Address) -> LossyPort:
        """Opens a port; replaces an earlier port with the same address."""
        port = LossyPort(self, address)
        self._ports[address] = port
        return port

    def close(self, address: Address) -> None:
        """Closes the port at an address, as if its process had died."""
        self._ports.pop(address, None)

    def carry(self, data: bytes, source: Address, target: Address) -> None:
        """Sends a datagram, subject to blocking, loss and duplication."""
        self.sent += 1
        self.sent_octets += len(data)
        if self._recording is not None:
            self._recording.add(data, source, target)
        if source not in self._ports or self.is_blocked(source, target):
            return
        copies = 1 + (self._randomness.random() < _DUPLICATE_RATE)
        for _ in range(copies):
            if self._randomness.random() >= self.loss:
                self.deliver(data, source, target)

    def deliver(self, data: bytes, source: Address, target: Address) -> None:
        """Delivers a datagram after a random delay."""
        assert self._nursery is not None
        self._nursery.start_soon(self._deliver, data, source, target)

    async def _deliver(
        self, data: bytes, source: Address, target: Address
    ) -> None:
        delay_s = _DELAY_S + self._randomness.random() * _JITTER_S
        await trio.sleep(delay_s)
        if target in self._ports:
            self._ports[target].push(data, source)


class Recording:
    """Recorded datagrams that can be delivered again."""

    def __init__(self, network: LossyNetwork) -> None:
        self._network = network
        self._datagrams: list[tuple[bytes, Address, Address]] = []
        self._stopped = False

    def add(self, data: bytes, source: Address, target: Address) -> None:
        """Records a datagram."""
        if not self._stopped:
            self._datagrams.append((data, source, target))

    def stop(self) -> None:
        """Stops the recording."""
        self._stopped = True

    def replay(self) -> None:
        """Delivers all recorded datagrams again."""
        for data, source, target in self._datagrams:
            self._network.deliver(data, source, target)


class LossyPort:
    """A port of the network that implements the `Datagrams` interface."""

    def __init__(self, network: LossyNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self._send, self._receive = trio.open_memory_channel[
            tuple[bytes, Address]
        ](math.inf)

    async def send(self, data: bytes, address: Address) -> None:
        """Sends one datagram."""
        await trio.lowlevel.checkpoint()
        self._network.carry(data, self._address, address)

    def push(self, data: bytes, source: Address) -> None:
        """Queues one datagram for the receiver."""
        self._send.send_nowait((data, source))

    async def __aiter__(self) -> AsyncIterator[tuple[bytes, Address]]:
        """Yields the received datagrams with their source addresses."""
        async for item in self._receive:
            yield item
