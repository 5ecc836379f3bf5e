"""Gives snapshots of entries to other hosts."""

from __future__ import annotations

import contextlib
import logging

import msgspec
import trio

from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages

logger = logging.getLogger(__name__)

# How long a host may take no octets before it gets no more, seconds.
_IO_TIMEOUT_S = 1.0
_MAX_REQUEST_OCTETS = 64
_CHUNK_OCTETS = 16_384
# An answer of more octets counts as long.
_LONG_ANSWER_OCTETS = 16_384
# Hosts that a snapshot names.
_MAX_NAMED_PEERS = 32
# Hosts that get a long desired state at a time. The fewer, the sooner the first
# of them can give it to others; with one, a host that freezes while it takes
# octets would keep it from all for the time of silence.
_MAX_LONG_ANSWERS = 2


class SnapshotServer:
    """Answers requests of other hosts for what they lack.

    Guards against a host that alone has a new long desired state, and is asked
    for it by all others at once: each of them would get a small share of its
    link, and none the whole before it gives up. Those beyond some are refused
    at once, and ask again where somebody has it by then.
    """

    def __init__(self, core: core_module.ForwardCore) -> None:
        """Makes the part; nothing is answered before `run`."""
        self._core = core
        self._long_answers = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Answers until cancelled.

        Raises:
            OSError: The port can't be had.
        """
        settings = self._core.settings
        listeners = await trio.open_tcp_listeners(
            settings.snapshot_port, host=settings.own_address
        )
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        try:
            peer = stream.socket.getpeername()[0]
        except OSError as error:
            logger.info("A peer has gone: %s.", error)
        else:
            await self.answer(stream, peer)
        await trio.aclose_forcefully(stream)

    async def answer(self, stream: trio.abc.Stream, peer: str) -> None:
        """Answers one request.

        Args:
            stream: The connection, which stays open.
            peer: Address of the other host, for the log.
        """
        answer = b""
        try:
            with trio.fail_after(_IO_TIMEOUT_S):
                request = await _receive_request(stream)
            answer = self._make_answer(request)
            await self._send(stream, answer)
        except (
            trio.BrokenResourceError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            logger.info(
                "A peer did not get its snapshot: %s %s.",
                type(error).__name__,
                error,
                extra={"peer": peer, "octets": len(answer)},
            )

    def _make_answer(self, request: messages.PullRequest) -> bytes:
        """Returns what a host gets.

        Hosts of earlier releases would take a refusal for a snapshot, so they
        are never refused.
        """
        is_full = (
            self._long_answers >= _MAX_LONG_ANSWERS and request.accepts_refusal
        )
        if is_full and self._needs_long_state(request):
            snapshot = messages.Snapshot(0, True, (), (), busy=True)
        else:
            snapshot = self._make_snapshot(request)
        if request.accepts_compression:
            return codec.SNAPSHOT_CODEC.encode(snapshot)
        return msgspec.msgpack.encode(snapshot)

    def _needs_long_state(self, request: messages.PullRequest) -> bool:
        entries = self._core.entries
        return not request.omits_long_state and entries.has_long_state_since(
            request.after_revision
        )

    def _make_snapshot(
        self, request: messages.PullRequest
    ) -> messages.Snapshot:
        entries = self._core.entries
        named = self._core.peers.sample_addresses(_MAX_NAMED_PEERS)
        if request.omits_long_state:
            return entries.make_short_snapshot(request.after_revision, named)
        return entries.make_snapshot(request.after_revision, named)

    async def _send(self, stream: trio.abc.Stream, answer: bytes) -> None:
        """Sends an answer to a host for as long as it takes octets."""
        is_long = len(answer) > _LONG_ANSWER_OCTETS
        self._long_answers += is_long
        try:
            for start in range(0, len(answer), _CHUNK_OCTETS):
                with trio.fail_after(_IO_TIMEOUT_S):
                    await stream.send_all(answer[start : start + _CHUNK_OCTETS])
        finally:
            self._long_answers -= is_long


async def _receive_request(stream: trio.abc.Stream) -> messages.PullRequest:
    """Returns a request, which may come in several pieces.

    Raises:
        msgspec.MsgspecError: The peer sent none.
    """
    octets = bytearray()
    while len(octets) < _MAX_REQUEST_OCTETS:
        data = await stream.receive_some(_MAX_REQUEST_OCTETS - len(octets))
        if not data:
            break
        octets += data
        with contextlib.suppress(msgspec.MsgspecError):
            return msgspec.msgpack.decode(octets, type=messages.PullRequest)
    return msgspec.msgpack.decode(octets, type=messages.PullRequest)
