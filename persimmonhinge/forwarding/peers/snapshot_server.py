"""Serves snapshots of the entries to other hosts."""

from __future__ import annotations

import contextlib
import logging

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge import tcp_server
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import message_checks
from persimmonhinge.forwarding.peers import messages

logger = logging.getLogger(__name__)

_SOURCE = input_source.InputSource.SNAPSHOT_REQUEST
# Time that a host may take to send its request, and to accept each chunk of the
# answer, before the connection is closed, seconds.
_IO_TIMEOUT_S = 1.0
# Maximum size of a request, octets.
_MAX_REQUEST_OCTETS = 64
# Size of the chunks in which an answer is sent, octets.
_CHUNK_OCTETS = 16_384
# Size above which an answer counts towards `_MAX_LONG_ANSWERS`, octets.
_LONG_ANSWER_OCTETS = 16_384
# Maximum number of other hosts that a snapshot names.
_MAX_NAMED_PEERS = 32
# Maximum number of hosts that a long desired state is sent to at the same time.
# The fewer they are, the sooner the first of them can send it to others. With
# one, a host that freezes while it receives would block all others for
# `_IO_TIMEOUT_S`.
_MAX_LONG_ANSWERS = 2
# Maximum number of connections; others are closed at once, and their hosts ask
# another one. A host may have 4,100 descriptors.
_MAX_CONNECTIONS = 512
# Maximum length of all answers that are being sent, octets. Hosts of earlier
# releases are not refused by `_MAX_LONG_ANSWERS`.
_MAX_PENDING_OCTETS = 64_000_000


class SnapshotServer:
    """Answers snapshot requests of hosts that are behind.

    Limits the number of long answers sent at the same time. When only one host
    has a new long desired state and all others ask for it at once, each would
    get a small share of its link, and none the complete answer before its
    request times out. Hosts beyond the limit are refused at once, and later
    ask a host that has received the desired state by then.
    """

    def __init__(self, core: core_module.ForwardCore) -> None:
        """Initializes the server; nothing is answered before `run`."""
        self._core = core
        self._connections = 0
        self._long_answers = 0
        self._pending_octets = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Answers requests until cancelled.

        Raises:
            OSError: The port can't be bound.
        """
        settings = self._core.settings
        try:
            listeners = await trio.open_tcp_listeners(
                settings.snapshot_port, host=settings.own_address
            )
        except OSError as error:
            logger.error(
                "Can't bind the port of snapshots.",
                extra={"port": settings.snapshot_port, "error": str(error)},
            )
            raise
        task_status.started()
        await tcp_server.serve_connections(self._serve, listeners)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._connections += 1
        try:
            await self._serve_peer(stream)
        finally:
            self._connections -= 1
            await trio.aclose_forcefully(stream)

    async def _serve_peer(self, stream: trio.SocketStream) -> None:
        try:
            peer = stream.socket.getpeername()[0]
        except OSError as error:
            logger.info(
                "A peer closed its snapshot connection before the request: %s.",
                error,
            )
            return
        if self._connections > _MAX_CONNECTIONS:
            self._core.refusals.record_refusal(
                _SOURCE,
                peer,
                _make_error(f"over {_MAX_CONNECTIONS} connections are open"),
            )
            return
        await self.answer(stream, peer)

    async def answer(self, stream: trio.abc.Stream, peer: str) -> None:
        """Answers one request.

        Args:
            stream: The connection, which is left open.
            peer: Address of the other host, for log lines.
        """
        refusals = self._core.refusals
        try:
            await self._answer(stream, peer)
        except errors.RefusedInputError as error:
            refusals.record_refusal(_SOURCE, peer, error)
        except Exception as error:
            refusals.record_failure(_SOURCE, peer, error)

    async def _answer(self, stream: trio.abc.Stream, peer: str) -> None:
        """Answers one request; logs a connection that fails.

        Raises:
            RefusedInputError: The other host sent no valid request, or too many
                octets are being sent already.
        """
        answer = b""
        try:
            with trio.fail_after(_IO_TIMEOUT_S):
                request = await _receive_request(stream)
            answer = self._make_answer(request)
            await self._send(stream, answer)
        except (trio.BrokenResourceError, trio.TooSlowError) as error:
            logger.info(
                "Failed to send a snapshot to a peer: %s %s.",
                type(error).__name__,
                error,
                extra={"peer": peer, "octets": len(answer)},
            )

    def _make_answer(self, request: messages.PullRequest) -> bytes:
        """Returns the encoded answer to a request.

        Hosts of earlier releases would treat a refusal as a snapshot, so their
        requests are never refused.
        """
        is_at_limit = (
            self._long_answers >= _MAX_LONG_ANSWERS and request.accepts_refusal
        )
        if is_at_limit and self._needs_long_state(request):
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
        peers = self._core.peers.sample_addresses(_MAX_NAMED_PEERS)
        if request.omits_long_state:
            snapshot = entries.make_short_snapshot(
                request.after_revision, peers
            )
        else:
            snapshot = entries.make_snapshot(request.after_revision, peers)
        return msgspec.structs.replace(
            snapshot,
            entries=tuple(filter(message_checks.is_sendable, snapshot.entries)),
        )

    async def _send(self, stream: trio.abc.Stream, answer: bytes) -> None:
        """Sends an answer for as long as the other host accepts octets.

        Raises:
            trio.BrokenResourceError: The connection has failed.
            trio.TooSlowError: The host accepted no octets in time.
            RefusedInputError: Too many octets are being sent already.
        """
        pending = self._pending_octets
        if pending and pending + len(answer) > _MAX_PENDING_OCTETS:
            raise _make_error(f"{pending} octets are being sent")
        is_long = len(answer) > _LONG_ANSWER_OCTETS
        self._long_answers += is_long
        self._pending_octets += len(answer)
        try:
            for start in range(0, len(answer), _CHUNK_OCTETS):
                with trio.fail_after(_IO_TIMEOUT_S):
                    await stream.send_all(answer[start : start + _CHUNK_OCTETS])
        finally:
            self._long_answers -= is_long
            self._pending_octets -= len(answer)


async def _receive_request(stream: trio.abc.Stream) -> messages.PullRequest:
    """Receives a request, which may arrive in several pieces.

    Raises:
        MalformedMessageError: The peer sent no valid request.
    """
    octets = bytearray()
    while len(octets) < _MAX_REQUEST_OCTETS:
        data = await stream.receive_some(_MAX_REQUEST_OCTETS - len(octets))
        if not data:
            break
        octets += data
        with contextlib.suppress(errors.MalformedMessageError):
            return codec.REQUEST_CODEC.decode(octets)
    return codec.REQUEST_CODEC.decode(octets)


def _make_error(reason: str) -> errors.RefusedInputError:
    return errors.RefusedInputError(reason, step="answer snapshot request")
