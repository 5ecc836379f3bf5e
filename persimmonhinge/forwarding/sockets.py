"""The UDP socket that receives and sends packets."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import early_logs
from persimmonhinge.forwarding import flow
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.metrics import counts as counts_module

if TYPE_CHECKING:
    import _socket

logger = early_logs.get_logger(__name__)

_MAX_DATAGRAM_OCTETS = 2048
# Maximum number of datagrams read in one batch, so that other tasks can run
# between two batches.
MAX_BATCH_DATAGRAMS = 64


class PacketSocket:
    """Reads packets in batches and sends datagrams without waiting.

    A datagram that the kernel does not accept at once is counted and dropped,
    so that it does not delay the next one. Senders have to expect lost
    datagrams in any case.
    """

    def __init__(
        self, packet_socket: _socket.socket, counts: counts_module.Counts
    ) -> None:
        """Creates the packet socket on a bound, non-blocking socket."""
        self.socket = packet_socket
        self._port = packet_socket.getsockname()[1]
        self._counts = counts

    def receive_batch(self, handle_datagram: Callable[[bytes], None]) -> int:
        """Passes one batch of datagrams to a function; returns their number."""
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                octets = self.socket.recv(_MAX_DATAGRAM_OCTETS)
            except BlockingIOError:
                return count
            except OSError as error:
                self._counts.add("receive_errors_total")
                logger.warning(
                    "Can't receive a datagram from the packet socket: %s.",
                    error,
                )
                return count
            handle_datagram(octets)
        return MAX_BATCH_DATAGRAMS

    def send_to_upstream(self, octets: bytes, address: flow.Endpoint) -> None:
        """Sends a datagram to an upstream."""
        self._send(octets, address)

    def send_to_caller(self, octets: bytes, caller: int) -> None:
        """Sends a datagram to a caller's 32-bit IPv4 address.

        The fabric accepts the packets for all callers at the port number that
        this socket is bound to.
        """
        self._send(octets, (flow.format_address(caller), self._port))

    def _send(self, octets: bytes, address: tuple[str, int]) -> None:
        try:
            self.socket.sendto(octets, address)
        except OSError as error:
            self._counts.add("send_errors_total")
            logger.warning(
                "Can't send a datagram from the packet socket: %s.",
                error,
                extra={"peer": address},
            )
