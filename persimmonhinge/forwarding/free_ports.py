"""Waits for ports that another process still holds."""

from __future__ import annotations

import socket

import trio

from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import flow


async def wait_until_free(
    use: str, address: flow.Endpoint, kind: socket.SocketKind
) -> None:
    """Waits until a port can be bound.

    Args:
        use: What the port is for.
        address: The address and port.
        kind: Stream or datagrams.

    Raises:
        OSError: It can't be bound; the text names use and address.
    """
    ends_at = trio.current_time() + binding.BIND_LIMIT_S
    while True:
        try:
            _bind_once(address, kind)
        except OSError as error:
            if not binding.is_passing(error) or trio.current_time() >= ends_at:
                failure = binding.describe_failure(use, address, error)
                raise failure from error
        else:
            return
        await trio.sleep(binding.BIND_RETRY_INTERVAL_S)


def _bind_once(address: flow.Endpoint, kind: socket.SocketKind) -> None:
    with socket.socket(socket.AF_INET, kind) as probe:
        if kind == socket.SOCK_STREAM:
            # As trio's listeners have it; closed connections of a former
            # process otherwise hold the port.
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(address)
