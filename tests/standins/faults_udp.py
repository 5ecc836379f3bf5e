"""Forwards UDP datagrams through faults."""

from __future__ import annotations

import collections

import trio

from tests.standins import faults_datagrams
from tests.standins import faults_rules as rules

_MOST_OCTETS = 65_535
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
    """

    def __init__(
        self, name: str, target: _Address, table: rules.FaultTable
    ) -> None:
        self.name = name
        self.address: _Address = ("", 0)
        self._target = target
        self._faults = faults_datagrams.DatagramFaults(name, table)
        self._paths: dict[_Address, _Path] = {}

    @property
    def counts(self) -> collections.Counter[str]:
        """Datagrams each way, lost, doubled and reordered."""
        return self._faults.counts

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
            self._faults.send(
                nursery,
                path.socket,
                data,
                self._target,
                source[0],
                rules.Direction.FORWARD,
                is_lost=path.is_lost,
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
                self._faults.send(
                    nursery,
                    near,
                    data,
                    path.source,
                    path.source[0],
                    rules.Direction.BACK,
                    is_lost=path.is_lost,
                )
