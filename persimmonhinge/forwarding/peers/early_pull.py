"""Pulls a snapshot at the start, before there is an event loop."""

from __future__ import annotations

import _socket
import time

import msgspec

from persimmonhinge import draws
from persimmonhinge import early_logs
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding.peers import messages

logger = early_logs.get_logger(__name__)

_RECEIVE_OCTETS = 65_536


def pull_from_seeds(core: cores.ForwardCore) -> None:
    """Takes in what one of the hosts of the settings knows.

    Guards against a host that is started while the store is away: it would
    forward nothing until its event loop is there and a peer has reported, a
    second later, while the fabric hands it packets since too few hosts of its
    domain are in rotation. 78 of 361 requests of two seconds were late when
    three of six hosts were killed in an outage of the store.

    Seeds may be down or gone, so each gets as long as the store had.

    Args:
        core: The parts of the host.
    """
    seeds = core.settings.seed_addresses()
    for host in draws.sample(seeds, len(seeds)):
        if host == core.settings.own_address:
            continue
        try:
            octets = _exchange(core, host)
            snapshot = msgspec.msgpack.decode(octets, type=messages.Snapshot)
        except (OSError, msgspec.MsgspecError) as error:
            core.counts.add("snapshot_errors_total")
            logger.warning(
                "Can't pull a snapshot: %s.", error, extra={"peer": host}
            )
            continue
        logger.info(
            "Pulled a snapshot.",
            extra={"peer": host, "revision": snapshot.revision, "former": 0},
        )
        core.entries.take_snapshot(snapshot, host)
        if core.knowledge.is_complete():
            return


def _exchange(core: cores.ForwardCore, host: str) -> bytes:
    """Returns what a host answers to a request for all that it knows."""
    ends_at = time.monotonic() + core.settings.first_call_limit_s
    connection = _socket.socket(_socket.AF_INET, _socket.SOCK_STREAM)
    octets = bytearray()
    try:
        _limit(connection, ends_at)
        connection.connect((host, core.settings.snapshot_port))
        request = messages.PullRequest(core.entries.revision)
        connection.sendall(msgspec.msgpack.encode(request))
        while data := connection.recv(_RECEIVE_OCTETS):
            octets += data
            _limit(connection, ends_at)
    finally:
        connection.close()
    return bytes(octets)


def _limit(connection: _socket.socket, ends_at: float) -> None:
    rest_s = ends_at - time.monotonic()
    if rest_s <= 0:
        raise TimeoutError("time limit has passed")
    connection.settimeout(rest_s)
