"""Forwards UDP datagrams through faults."""

from __future__ import annotations

import collections

import trio

from tests.standins import faults_rules as rules

_MOST_OCTETS = 65_535
# A reordered datagram comes this much later than the others, seconds.
_REORDER_S = 0.02
_Address = tuple[str, int]


class _Path:
    """The way of one source to the target and back.

    Attributes:
        source: Address of the source.
        socket: Socket towards the target; its port stands for the source.
        is_lost: True once a middle box lost track of it: datagrams vanish.
    """

    def __init__(
        self, source: _Address, socket: trio.socket.SocketType
    ) -> None:
        self.source = source
        self.socket = socket
        self.is_lost = False


class UdpMapping:
    """Forwards datagrams from one address to another, and answers back.

    Attributes:
        name: Name of the mapping.
        address: Where it listens.
        counts: Datagrams each way, lost, doubled and reordered.
    """

    def __init__(
        self, name: str, target: _Address, table: rules.FaultTable
    ) -> None:
        self.name = name
        self.address: _Address = ("", 0)
        self.counts: collections.Counter[str] = collections.Counter()
        self._target = target
        self._table = table
        self._paths: dict[_Address, _Path] = {}
        self._randoms = {
            direction: table.make_random(name, direction)
            for direction in rules.Direction
        }

    async def run(
        self,
        listen: _Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens and forwards until cancelled."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as near:
            await near.bind(listen)
            self.address = near.getsockname()[:2]
            async with trio.open_nursery() as nursery:
                task_status.started()
                await self._forward(near, nursery)

    def black_hole(self) -> None:
        """Loses track of all paths, for good.

        Datagrams of the sources seen so far vanish both ways; those of new
        sources pass.
        """
        for path in self._paths.values():
            path.is_lost = True

    def reset(self) -> None:
        """Forgets all paths: each source gets a new port to the target."""
        for path in self._paths.values():
            path.is_lost = True
        self._paths.clear()

    async def _forward(
        self, near: trio.socket.SocketType, nursery: trio.Nursery
    ) -> None:
        while True:
            data, source = await near.recvfrom(_MOST_OCTETS)
            path = self._paths.get(source)
            if path is None:
                path = await self._open_path(source)
                nursery.start_soon(self._return, near, path, nursery)
            direction = rules.Direction.FORWARD
            self._pass(
                path, direction, data, path.socket, self._target, nursery
            )

    async def _open_path(self, source: _Address) -> _Path:
        far = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        # The target still sees which host it was: any address of 127.0.0.0/8
        # can be bound on loopback.
        await far.bind((source[0], 0))
        path = _Path(source, far)
        self._paths[source] = path
        return path

    async def _return(
        self,
        near: trio.socket.SocketType,
        path: _Path,
        nursery: trio.Nursery,
    ) -> None:
        with path.socket:
            while True:
                try:
                    data, _ = await path.socket.recvfrom(_MOST_OCTETS)
                except ConnectionRefusedError:
                    # The target does not listen; it may do so later.
                    continue
                direction = rules.Direction.BACK
                self._pass(path, direction, data, near, path.source, nursery)

    def _pass(
        self,
        path: _Path,
        direction: rules.Direction,
        data: bytes,
        socket: trio.socket.SocketType,
        address: _Address,
        nursery: trio.Nursery,
    ) -> None:
        fault = self._table.find(self.name, path.source[0], direction)
        random = self._randoms[direction]
        # Each datagram draws the same numbers whatever the faults are, so
        # that a seed gives the same losses.
        drop, duplicate, reorder = (random.random() for _ in range(3))
        if path.is_lost or fault.cut or drop < fault.drop:
            self.counts["lost"] += 1
            return
        delay_s = fault.delay_s
        if reorder < fault.reorder:
            self.counts["reordered"] += 1
            delay_s += _REORDER_S
        copies = 1
        if duplicate < fault.duplicate:
            self.counts["doubled"] += 1
            copies = 2
        for _ in range(copies):
            self.counts[direction.value] += 1
            nursery.start_soon(_send_later, socket, data, address, delay_s)


async def _send_later(
    socket: trio.socket.SocketType,
    data: bytes,
    address: _Address,
    delay_s: float,
) -> None:
    if delay_s > 0:
        await trio.sleep(delay_s)
    try:
        await socket.sendto(data, address)
    except OSError:
        # A datagram that can't be sent is a lost one.
        pass
