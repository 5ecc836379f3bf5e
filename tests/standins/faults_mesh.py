"""Forwards datagrams among hosts that each have an address in the proxy."""

from __future__ import annotations

from collections.abc import Mapping

import trio

from tests.standins import faults_datagrams
from tests.standins import faults_rules as rules

_MOST_OCTETS = 65_535


class UdpMesh:
    """Stands between hosts that send datagrams to each other's same port.

    Each host is known to the others by an outer address, where the proxy
    listens, and the proxy sends on from the outer address of the sender. So
    hosts see each other at outer addresses only, whichever way they learn
    them. A fault is set for the mapping `NAME HOST` and the inner address of
    the sender: each pair and direction can be harmed alone.
    """

    def __init__(
        self, name: str, hosts: Mapping[str, tuple[str, str]], port: int
    ) -> None:
        """Makes a mesh; nothing is bound before `run`.

        Args:
            name: First word of the names of its mappings.
            hosts: Inner and outer IP address of each host, by its name.
            port: The port.
        """
        self._name = name
        self._hosts = hosts
        self._port = port

    def name_mapping(self, host: str) -> str:
        """Returns the name of the mapping of datagrams to a host."""
        return f"{self._name} {host}"

    async def run(
        self,
        table: rules.FaultTable,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Forwards until cancelled.

        Raises:
            OSError: An outer address can't be had.
        """
        sockets: dict[str, trio.socket.SocketType] = {}
        for inner, outer in self._hosts.values():
            bound = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await bound.bind((outer, self._port))
            sockets[inner] = bound
        async with trio.open_nursery() as nursery:
            for host, (inner, _) in self._hosts.items():
                faults = faults_datagrams.DatagramFaults(
                    self.name_mapping(host), table
                )
                nursery.start_soon(
                    self._forward, sockets, inner, faults, nursery
                )
            task_status.started()

    async def _forward(
        self,
        sockets: Mapping[str, trio.socket.SocketType],
        inner: str,
        faults: faults_datagrams.DatagramFaults,
        nursery: trio.Nursery,
    ) -> None:
        """Forwards what others send to one host."""
        target = (inner, self._port)
        while True:
            try:
                data, source = await sockets[inner].recvfrom(_MOST_OCTETS)
            except ConnectionRefusedError:
                # A host that was sent to does not listen; it may do so later.
                continue
            sender = sockets.get(source[0])
            if sender is None or source[0] == inner:
                continue
            faults.send(
                nursery,
                sender,
                data,
                target,
                source[0],
                rules.Direction.FORWARD,
            )
