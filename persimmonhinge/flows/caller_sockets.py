"""The datagram sockets towards callers, one for each service."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging
import socket

import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import store
from persimmonhinge.flows import message_ids
from persimmonhinge.flows import port
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.settings import entry as entry_module

logger = logging.getLogger(__name__)

# Datagrams taken at one wake-up; other tasks run in between.
_MAX_DATAGRAMS_PER_WAKEUP = 64
_RECEIVE_BUFFER_OCTETS = 4 * 1024 * 1024
_BIND_RETRY_S = 1.0

ReceiveDatagram = Callable[[port.Flow, bytes], None]


class CallerSockets:
    """Receives callers' datagrams and sends the answers.

    Answers leave through the socket of the service, so that they carry its
    address whichever host sends them.
    """

    def __init__(
        self,
        settings: entry_module.EntrySettings,
        contract_store: store.ContractStore,
        counts: counts_module.Counts,
    ) -> None:
        self._settings = settings
        self._contracts = contract_store
        self._counts = counts
        self._sockets: dict[ids.ServiceName, socket.socket] = {}
        self._message_ids = message_ids.MessageIds()

    async def run(self, receive: ReceiveDatagram) -> None:
        """Serves the services of the contracts in force.

        Args:
            receive: Takes each datagram with its flow.
        """
        async with trio.open_nursery() as nursery:
            running: dict[tuple[ids.ServiceName, str, int], trio.CancelScope]
            running = {}
            while True:
                version = self._contracts.changed.version
                wanted = self._list_required()
                for key in set(running) - wanted:
                    running.pop(key).cancel()
                for key in wanted - set(running):
                    running[key] = trio.CancelScope()
                    nursery.start_soon(self._serve, key, running[key], receive)
                await self._contracts.changed.wait_beyond(version)

    def send(self, flow: port.Flow, message: codec.Message) -> None:
        """Sends one message to a caller; see `flows.port.Answers`."""
        self.send_octets(flow, codec.encode(message))

    def send_octets(self, flow: port.Flow, data: bytes) -> None:
        """Sends one datagram to a caller."""
        sender = self._sockets.get(flow.service)
        if sender is None:
            self._counts.add("answers_dropped_total", cause="no-socket")
            return
        try:
            sender.sendto(data, flow.caller)
        except OSError as error:
            # The kernel's queue is full or the caller's port is closed: a
            # datagram may always be lost, and the sender repeats it.
            name = type(error).__name__
            self._counts.add("answers_dropped_total", cause=name)

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a message id that is new to the caller."""
        return self._message_ids.allocate_id(flow)

    def _list_required(self) -> set[tuple[ids.ServiceName, str, int]]:
        wanted = set()
        for entry in self._contracts.entries():
            contract = entry.contract
            host = self._settings.data_address or contract.address.host
            service = ids.ServiceName(contract.service)
            wanted.add((service, host, contract.address.port))
        return wanted

    async def _serve(
        self,
        key: tuple[ids.ServiceName, str, int],
        scope: trio.CancelScope,
        receive: ReceiveDatagram,
    ) -> None:
        service, host, service_port = key
        with scope:
            receiver = await self._bind(service, (host, service_port))
            self._sockets[service] = receiver
            try:
                await self._receive_all(service, receiver, receive)
            finally:
                if self._sockets.get(service) is receiver:
                    del self._sockets[service]
                receiver.close()

    async def _bind(
        self, service: ids.ServiceName, address: tuple[str, int]
    ) -> socket.socket:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        while True:
            receiver = socket.socket(family, socket.SOCK_DGRAM)
            receiver.setblocking(False)
            receiver.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_OCTETS
            )
            try:
                receiver.bind(address)
            except OSError as error:
                receiver.close()
                logger.warning(
                    "Can't bind %s for %s: %s", address, service, error
                )
                await trio.sleep(_BIND_RETRY_S)
                continue
            logger.info("Service %s listens on %s:%d.", service, *address)
            return receiver

    async def _receive_all(
        self,
        service: ids.ServiceName,
        receiver: socket.socket,
        receive: ReceiveDatagram,
    ) -> None:
        take = functools.partial(
            receiver.recvfrom, codec.MAX_DATAGRAM_OCTETS + 1
        )
        while True:
            await trio.lowlevel.wait_readable(receiver)
            for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
                try:
                    data, source = take()
                except BlockingIOError:
                    break
                except OSError:
                    # An earlier answer met a closed port (ICMP): it says
                    # nothing about the datagrams that wait.
                    continue
                receive(port.Flow(service, source[:2]), data)
