"""Forwards TCP connections through faults."""

from __future__ import annotations

import collections
import socket
import struct

import trio

from tests.standins import faults_rules as rules

_READ_OCTETS = 65_536
# Chunks under way in one direction before the sender has to wait.
_MOST_CHUNKS = 256
# What a lost segment costs: the shortest retransmission time of Linux.
_RETRANSMISSION_S = 0.2
_RESET = struct.pack("ii", 1, 0)


class _Pipe:
    """One connection through the proxy.

    Attributes:
        source: IP address of the side that connected.
        is_lost: True once a middle box lost track of it: octets vanish.
        scope: Cancelled to end it.
        streams: The side that connected, then the target.
    """

    def __init__(self, near: trio.SocketStream) -> None:
        self.source = str(near.socket.getpeername()[0])
        self.is_lost = False
        self.scope = trio.CancelScope()
        self.streams = [near]

    def reset(self) -> None:
        """Ends it with a TCP reset towards both sides."""
        for stream in self.streams:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self.scope.cancel()


class TcpMapping:
    """Forwards connections from one address to another.

    Attributes:
        name: Name of the mapping.
        address: Where it listens.
        counts: Connections, octets each way, resets.
    """

    def __init__(
        self, name: str, target: tuple[str, int], table: rules.FaultTable
    ) -> None:
        self.name = name
        self.address = ("", 0)
        self.counts: collections.Counter[str] = collections.Counter()
        self._target = target
        self._table = table
        self._pipes: set[_Pipe] = set()
        self._randoms = {
            direction: table.make_random(name, direction)
            for direction in rules.Direction
        }

    async def run(
        self,
        listen: tuple[str, int],
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens and forwards until cancelled."""
        listeners = await trio.open_tcp_listeners(listen[1], host=listen[0])
        self.address = listeners[0].socket.getsockname()[:2]
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def reset(self) -> None:
        """Resets all open connections."""
        for pipe in self._pipes:
            self.counts["resets"] += 1
            pipe.reset()

    def black_hole(self) -> None:
        """Loses track of all open connections, for good.

        They stay open and their octets vanish; new connections work.
        """
        for pipe in self._pipes:
            pipe.is_lost = True

    async def _serve(self, near: trio.SocketStream) -> None:
        try:
            pipe = _Pipe(near)
        except OSError:
            # It was closed before it could be served.
            await trio.aclose_forcefully(near)
            return
        self._pipes.add(pipe)
        self.counts["connections"] += 1
        try:
            with pipe.scope:
                await self._forward(pipe)
        except OSError:
            # The target refuses connections: refuse in the same way.
            pipe.reset()
        finally:
            self._pipes.discard(pipe)
            for stream in pipe.streams:
                await trio.aclose_forcefully(stream)

    async def _forward(self, pipe: _Pipe) -> None:
        forward = rules.Direction.FORWARD
        await self._table.wait_uncut(self.name, pipe.source, forward)
        # The target still sees which host it was: any address of 127.0.0.0/8
        # can be bound on loopback.
        far = await trio.open_tcp_stream(
            *self._target, local_address=pipe.source
        )
        pipe.streams.append(far)
        near = pipe.streams[0]
        async with trio.open_nursery() as nursery:
            back = rules.Direction.BACK
            nursery.start_soon(self._pump, pipe, near, far, forward)
            nursery.start_soon(self._pump, pipe, far, near, back)

    async def _pump(
        self,
        pipe: _Pipe,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: rules.Direction,
    ) -> None:
        sender, receiver = trio.open_memory_channel[tuple[float, bytes]](
            _MOST_CHUNKS
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read, pipe, source, direction, sender)
            nursery.start_soon(self._write, pipe, sink, direction, receiver)

    async def _read(
        self,
        pipe: _Pipe,
        source: trio.SocketStream,
        direction: rules.Direction,
        sender: trio.MemorySendChannel[tuple[float, bytes]],
    ) -> None:
        async with sender:
            while True:
                try:
                    data = bytes(await source.receive_some(_READ_OCTETS))
                except trio.BrokenResourceError:
                    self._pass_reset(pipe)
                    return
                delay_s = self._find_delay(pipe, direction)
                await sender.send((trio.current_time() + delay_s, data))
                if not data:
                    return

    async def _write(
        self,
        pipe: _Pipe,
        sink: trio.SocketStream,
        direction: rules.Direction,
        receiver: trio.MemoryReceiveChannel[tuple[float, bytes]],
    ) -> None:
        async for due, data in receiver:
            await trio.sleep_until(due)
            await self._table.wait_uncut(self.name, pipe.source, direction)
            if pipe.is_lost:
                self.counts["octets lost"] += len(data)
                continue
            # Counted first: who gets the octets may ask for the count at once.
            self.counts[f"octets {direction.value}"] += len(data)
            try:
                await self._write_chunk(sink, data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._pass_reset(pipe)
                return

    async def _write_chunk(self, sink: trio.SocketStream, data: bytes) -> None:
        if data:
            await sink.send_all(data)
        else:
            await sink.send_eof()

    def _pass_reset(self, pipe: _Pipe) -> None:
        # A lost connection stays open at the other side, as if cut off.
        if not pipe.is_lost:
            pipe.reset()

    def _find_delay(self, pipe: _Pipe, direction: rules.Direction) -> float:
        fault = self._table.find(self.name, pipe.source, direction)
        delay_s = fault.delay_s
        if self._randoms[direction].random() < fault.drop:
            self.counts["retransmissions"] += 1
            delay_s += _RETRANSMISSION_S
        return delay_s
