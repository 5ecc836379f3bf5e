"""The socket of all callers at one address."""

from __future__ import annotations

import itertools
import logging
import socket

import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import segment as segments
from persimmonhinge.platform import segments as formats

logger = logging.getLogger(__name__)

_FIRST_PORT = 20_000
_LAST_PORT = 65_000
_MOST_OCTETS = 2048
# A flow has at most 16 packets in flight; twice that never fills up.
_MOST_WAITING = 32

Inbox = trio.MemoryReceiveChannel[segments.Segment]


class CallerSocket:
    """Sends and receives the packets of many flows.

    All callers share an address, to which packets come at one UDP port; the
    port of a flow is only a number in its packets.
    """

    def __init__(self, address: str, packet_port: int) -> None:
        """Binds the socket.

        Args:
            address: IPv4 address of the callers.
            packet_port: UDP port at which packets come, everywhere the same.

        Raises:
            OSError: The address can't be had.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((address, packet_port))
        self._socket = trio.socket.from_stdlib_socket(bound)
        self._number = int.from_bytes(socket.inet_aton(address))
        self._ports = itertools.cycle(range(_FIRST_PORT, _LAST_PORT))
        self._inboxes: dict[int, trio.MemorySendChannel[segments.Segment]] = {}

    def open_port(self, service: flows.Endpoint) -> tuple[flows.FlowId, Inbox]:
        """Returns a new flow to a service, and what comes for it."""
        port = next(port for port in self._ports if port not in self._inboxes)
        sender, inbox = trio.open_memory_channel[segments.Segment](
            _MOST_WAITING
        )
        self._inboxes[port] = sender
        number = int.from_bytes(socket.inet_aton(service.host))
        return flows.FlowId(self._number, port, number, service.port), inbox

    def close_port(self, flow: flows.FlowId) -> None:
        """Forgets a flow."""
        self._inboxes.pop(flow.caller_port).close()

    async def send(
        self, segment: segments.Segment, host: flows.Endpoint
    ) -> None:
        """Sends a packet to a host."""
        try:
            await self._socket.sendto(formats.encode(segment), host)
        except ConnectionRefusedError as error:
            # An earlier datagram met a closed port: it is lost.
            logger.debug("A packet was lost: %s.", error)

    async def run(self) -> None:
        """Receives until cancelled."""
        with self._socket:
            while True:
                await self._receive()

    async def _receive(self) -> None:
        try:
            octets = await self._socket.recv(_MOST_OCTETS)
            segment = formats.decode(octets, to_caller=True)
        except (ConnectionRefusedError, errors.MalformedPacketError) as error:
            logger.info("A datagram is no packet: %s.", error)
            return
        inbox = self._inboxes.get(segment.flow.caller_port)
        if inbox is None:
            return
        try:
            inbox.send_nowait(segment)
        except trio.WouldBlock:
            logger.info("Dropped a packet.", extra={"flow": str(segment.flow)})
