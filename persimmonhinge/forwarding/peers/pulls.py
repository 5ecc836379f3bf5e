"""Snapshots of entries, as streams between hosts."""

from __future__ import annotations

import functools
import logging
import time

import msgspec
import trio

from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding.peers import book as books
from persimmonhinge.forwarding.peers import codec as codecs
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pull_attempt

logger = logging.getLogger(__name__)

_SNAPSHOTS: codecs.MessageCodec[messages.Snapshot] = codecs.MessageCodec(
    messages.Snapshot
)
_PULL_LIMIT_S = 1.0
_REQUEST_OCTETS = 64
# How far behind a host may be before it pulls from one that is ahead: news
# bring the same within some milliseconds, seconds.
_BEHIND_S = 0.25
_AHEAD_CHECK_S = 0.05


class SnapshotPuller:
    """Pulls what this host lacks from one that is ahead."""

    def __init__(self, core: cores.ForwardCore) -> None:
        """Makes the part; nothing is pulled before `run`."""
        self._core = core
        self._book = core.peers
        self._port = core.settings.snapshot_port
        self._behind_since: float | None = None

    async def run(self) -> None:
        """Pulls a snapshot when another host has newer entries.

        Guards against a watch that has gone silent, and against a store that
        refuses this host alone: upstreams that have left would go on getting
        flows. A peer that is ahead shows it at its next report.
        """
        while True:
            await trio.sleep(_AHEAD_CHECK_S)
            revision = self._core.entries.revision
            ahead = self._book.find_ahead(revision)
            now = time.monotonic()
            if ahead is None:
                self._behind_since = None
            elif self._behind_since is None:
                self._behind_since = now
            if ahead is not None and self._is_due(now):
                await self._pull(ahead)
                self._behind_since = time.monotonic()

    def _is_due(self, now: float) -> bool:
        if not self._core.knowledge.is_complete():
            return True
        behind_since = self._behind_since
        return behind_since is not None and now - behind_since > _BEHIND_S

    async def _pull(self, peer: books.Peer) -> None:
        host = peer.address.host
        attempt = pull_attempt.PullAttempt(self._core, host)
        try:
            with trio.fail_after(_PULL_LIMIT_S):
                stream = await trio.open_tcp_stream(host, self._port)
                async with stream:
                    known = self._core.entries.revision
                    request = messages.PullRequest(known, packed=True)
                    await stream.send_all(msgspec.msgpack.encode(request))
                    async for data in stream:
                        attempt.octets += data
            snapshot = _SNAPSHOTS.decode(attempt.octets)
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            msgspec.MsgspecError,
        ) as error:
            attempt.record_failure(error)
            return
        attempt.take(snapshot)
        now = time.monotonic()
        for named in snapshot.peers:
            self._book.add(named, now)


async def serve_snapshots(
    core: cores.ForwardCore,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Gives snapshots to other hosts until cancelled.

    Raises:
        OSError: The port can't be had.
    """
    settings = core.settings
    listeners = await trio.open_tcp_listeners(
        settings.snapshot_port, host=settings.own_address
    )
    task_status.started()
    serve = functools.partial(_serve, core)
    await trio.serve_listeners(serve, listeners)


async def _serve(core: cores.ForwardCore, stream: trio.SocketStream) -> None:
    peer = ""
    answer = b""
    try:
        peer = stream.socket.getpeername()[0]
        with trio.fail_after(_PULL_LIMIT_S):
            octets = await stream.receive_some(_REQUEST_OCTETS)
            request = msgspec.msgpack.decode(octets, type=messages.PullRequest)
            heard = tuple(peer.address for peer in core.peers.heard())
            snapshot = core.entries.make_snapshot(request.since, heard)
            if request.packed:
                answer = _SNAPSHOTS.encode(snapshot)
            else:
                answer = msgspec.msgpack.encode(snapshot)
            await stream.send_all(answer)
    except (
        OSError,
        trio.BrokenResourceError,
        trio.TooSlowError,
        msgspec.MsgspecError,
    ) as error:
        logger.info(
            "A peer did not get its snapshot: %s %s.",
            type(error).__name__,
            error,
            extra={
                "peer": peer,
                "octets": len(answer),
            },
        )
    await trio.aclose_forcefully(stream)
