"""Tests of what the kernel may answer on the packet socket."""

from __future__ import annotations

import errno
import itertools
from typing import Any
from unittest import mock

import trio

from persimmonhinge.forwarding import application
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import sockets
from persimmonhinge.metrics import counts
from tests.support import trios
from tests.test_forwarding import admission_scene
from tests.test_forwarding import test_forwarding_admission_wiring as wiring
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts

_ERRNOS = (
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.EACCES,
    errno.EMSGSIZE,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ECONNREFUSED,
    errno.EINVAL,
    errno.EINTR,
    errno.EIO,
    errno.EBADF,
)
# Datagrams that a batch of a test receives and sends.
_COUNT = 500


class _KernelSocket:
    """A socket whose calls do what a test says.

    Attributes:
        answers: What each call of `recv` returns or raises; then nothing is
            there.
        refused: What `sendto` raises.
        calls: Number of calls.
    """

    def __init__(self, *answers: bytes | int, refused: int = 0) -> None:
        self.answers = iter(answers)
        self.refused = refused
        self.calls = 0

    def recv(self, size: int) -> bytes:
        """See `socket.recv`."""
        self.calls += 1
        answer = next(self.answers, errno.EAGAIN)
        if isinstance(answer, bytes):
            return answer
        raise OSError(answer, "recv")

    def sendto(self, octets: bytes, address: object) -> None:
        """See `socket.sendto`."""
        self.calls += 1
        raise OSError(self.refused, "sendto")

    def getsockname(self) -> tuple[str, int]:
        """See `socket.getsockname`."""
        return "127.0.0.1", 9


def _make_socket(
    kernel_socket: Any,
) -> tuple[sockets.PacketSocket, counts.Counts]:
    counters = counts.Counts()
    return sockets.PacketSocket(kernel_socket, counters), counters


def test_error_of_a_read_loses_no_datagram_of_the_batch() -> None:
    """Guards against datagrams that wait for the next readiness."""
    for number in _ERRNOS:
        packets, counters = _make_socket(_KernelSocket(b"a", number, b"b"))
        received: list[bytes] = []
        packets.receive_batch(received.append)
        assert received == [b"a", b"b"], errno.errorcode[number]
        assert counters.get("receive_errors_total") == 1
        assert not packets.is_failing


def test_errors_without_end_are_bounded_and_known() -> None:
    """Guards against a batch that never ends, and against endless lines."""
    for number in _ERRNOS:
        kernel_socket = _KernelSocket(*[number] * 10_000)
        packets, counters = _make_socket(kernel_socket)
        with mock.patch.object(sockets.logger, "warning") as warn:
            for _ in range(100):
                packets.receive_batch(lambda octets: None)
        assert packets.is_failing
        failed = counters.get("receive_errors_total")
        assert failed == kernel_socket.calls
        assert warn.call_count < failed / 2


def test_errors_of_sending_are_counted_and_lines_are_bounded() -> None:
    """Guards against a host that ends or floods its log as links fail."""
    for number in (*_ERRNOS, errno.EAGAIN):
        packets, counters = _make_socket(_KernelSocket(refused=number))
        with mock.patch.object(sockets.logger, "warning") as warn:
            for caller in range(5 * _COUNT):
                packets.send_to_caller(b"", caller)
                packets.send_to_upstream(b"", flow.Endpoint("10.0.0.1", 1))
        assert counters.get("send_errors_total") == 10 * _COUNT
        assert warn.call_count < 5 * _COUNT


@trios.clock_test
async def test_socket_that_always_fails_is_read_at_intervals() -> None:
    """Guards against a host that is busy with a socket that fails."""
    store: Any = hosts.UnreachableStore()
    sources = admission_scene.Sources(share=1.0)
    with wiring.run_core(sources, "open") as core:
        kernel_socket: Any = _KernelSocket(*[errno.ENETDOWN] * 100_000)
        core.socket.socket = kernel_socket
        app = application.ForwardApplication(core, store)
        waits = itertools.count()

        async def return_at_once(readable: object) -> None:
            assert next(waits) < 1000, "busy"
            await trio.lowlevel.checkpoint()

        with (
            mock.patch("trio.lowlevel.wait_readable", return_at_once),
            trio.move_on_after(10.0),
        ):
            await app._receive_packets()
        assert next(waits) > 10
