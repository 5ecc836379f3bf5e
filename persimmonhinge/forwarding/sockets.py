"""The UDP socket that receives and sends packets."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge import early_logs
from persimmonhinge import line_budgets
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

    Attributes:
        socket: The socket.
        is_failing: Whether no read of the last batch got an answer but errors.
    """

    def __init__(
        self, packet_socket: _socket.socket, counts: counts_module.Counts
    ) -> None:
        """Creates the packet socket on a bound, non-blocking socket."""
        self.socket = packet_socket
        self._port = packet_socket.getsockname()[1]
        self._counts = counts
        self._lines = line_budgets.Budget()
        self.is_failing = False

    def receive_batch(self, handle_datagram: Callable[[bytes], None]) -> int:
        """Passes one batch of datagrams to a function, which raises nothing.

        Returns:
            Number of reads; less than `MAX_BATCH_DATAGRAMS` if the socket is
            empty. A read that failed counts, too: the next one may succeed, as
            the kernel reports an earlier error of the network only once.
        """
        failed_count = 0
        for count in range(MAX_BATCH_DATAGRAMS):
            try:
                octets = self.socket.recv(_MAX_DATAGRAM_OCTETS)
            except BlockingIOError:
                self.is_failing = False
                return count
            except OSError as error:
                failed_count += 1
                self._record_receive_error(error)
                continue
            handle_datagram(octets)
        self.is_failing = failed_count == MAX_BATCH_DATAGRAMS
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
            if self._lines.take():
                logger.warning(
                    "Can't send a datagram from the packet socket: %s.",
                    error,
                    extra={"peer": address},
                )

    def _record_receive_error(self, error: OSError) -> None:
        self._counts.add("receive_errors_total")
        if self._lines.take():
            logger.warning(
                "Can't receive a datagram from the packet socket: %s.", error
            )
