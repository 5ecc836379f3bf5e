"""What faults do to the datagrams of one mapping."""

from __future__ import annotations

import collections

import trio

from tests.standins import faults_rules as rules

# A reordered datagram comes this much later than the others, seconds.
_REORDER_S = 0.02
_Address = tuple[str, int]


class DatagramFaults:
    """Sends datagrams on, late, twice, out of order, or not at all.

    Attributes:
        counts: Datagrams each way, lost, doubled and reordered.
    """

    def __init__(self, name: str, table: rules.FaultTable) -> None:
        """Makes the faults of a mapping.

        Args:
            name: Name of the mapping.
            table: Faults in force.
        """
        self.counts: collections.Counter[str] = collections.Counter()
        self._name = name
        self._table = table
        self._randoms = {
            direction: table.make_random(name, direction)
            for direction in rules.Direction
        }

    def send(
        self,
        nursery: trio.Nursery,
        socket: trio.socket.SocketType,
        data: bytes,
        address: _Address,
        source: str,
        direction: rules.Direction,
        *,
        is_lost: bool = False,
    ) -> None:
        """Sends a datagram as the faults in force let it.

        Args:
            nursery: Where it waits if it is late.
            socket: Sends it.
            data: Its octets.
            address: Where it goes.
            source: IP address of the side that sends or connects.
            direction: Which way it goes.
            is_lost: True to lose it whatever the faults are.
        """
        fault = self._table.find(self._name, source, direction)
        random = self._randoms[direction]
        # Each datagram draws the same numbers whatever the faults are, so
        # that a seed gives the same losses.
        drop, duplicate, reorder = (random.random() for _ in range(3))
        if is_lost or fault.cut or drop < fault.drop:
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
