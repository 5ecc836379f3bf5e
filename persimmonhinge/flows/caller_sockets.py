"""UDP sockets for datagrams from and to callers, one for each service."""

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

# Maximum number of datagrams that a socket's task reads in a row before other
# tasks can run.
_MAX_DATAGRAMS_PER_WAKEUP = 64
_RECEIVE_BUFFER_OCTETS = 4 * 1024 * 1024
_BIND_RETRY_S = 1.0

DatagramHandler = Callable[[port.Flow, bytes], None]


class CallerSockets:
    """Receives datagrams from callers and sends the replies.

    A reply is sent from the socket of its service, so that its source address
    is the address of the service on every host.
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

    async def run(self, handle_datagram: DatagramHandler) -> None:
        """Listens for the services of the contracts in force.

        Sockets are opened and closed as the contracts change.

        Args:
            handle_datagram: Called with the flow and the content of each
                datagram.
        """
        async with trio.open_nursery() as nursery:
            running: dict[tuple[ids.ServiceName, str, int], trio.CancelScope]
            running = {}
            while True:
                version = self._contracts.changed.version
                required = self._list_required_sockets()
                for key in set(running) - required:
                    running.pop(key).cancel()
                for key in required - set(running):
                    running[key] = trio.CancelScope()
                    nursery.start_soon(
                        self._serve, key, running[key], handle_datagram
                    )
                await self._contracts.changed.wait_beyond(version)

    def send(self, flow: port.Flow, message: codec.Message) -> None:
        """Sends one message to a caller; see `flows.port.CallerSender`."""
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
            # The kernel's send queue is full or the caller's port is closed.
            # Any datagram may be lost, and its sender then retransmits it.
            name = type(error).__name__
            self._counts.add("answers_dropped_total", cause=name)

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a message id that the caller hasn't seen recently."""
        return self._message_ids.allocate_id(flow)

    def _list_required_sockets(self) -> set[tuple[ids.ServiceName, str, int]]:
        required = set()
        for entry in self._contracts.entries():
            contract = entry.contract
            host = self._settings.data_address or contract.address.host
            service = ids.ServiceName(contract.service)
            required.add((service, host, contract.address.port))
        return required

    async def _serve(
        self,
        key: tuple[ids.ServiceName, str, int],
        scope: trio.CancelScope,
        handle_datagram: DatagramHandler,
    ) -> None:
        service, host, service_port = key
        with scope:
            receiver = await self._bind(service, (host, service_port))
            self._sockets[service] = receiver
            try:
                await self._receive_all(service, receiver, handle_datagram)
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
                    "Could not bind address %s for service %s: %s",
                    address,
                    service,
                    error,
                )
                await trio.sleep(_BIND_RETRY_S)
                continue
            logger.info("Service %s listens on %s:%d.", service, *address)
            return receiver

    async def _receive_all(
        self,
        service: ids.ServiceName,
        receiver: socket.socket,
        handle_datagram: DatagramHandler,
    ) -> None:
        receive_datagram = functools.partial(
            receiver.recvfrom, codec.MAX_DATAGRAM_OCTETS + 1
        )
        while True:
            await trio.lowlevel.wait_readable(receiver)
            for _ in range(_MAX_DATAGRAMS_PER_WAKEUP):
                try:
                    data, source = receive_datagram()
                except BlockingIOError:
                    break
                except OSError:
                    # An earlier reply reached a closed port and the kernel
                    # reports the ICMP error here. Datagrams that are queued
                    # are not affected.
                    continue
                handle_datagram(port.Flow(service, source[:2]), data)
