"""Tests of connections to the store that go silent while new ones work."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import json
from unittest import mock

import trio

from persimmonhinge import errors
from persimmonhinge.platform import adapter
from persimmonhinge.store import trio_transport
from tests.support import trios

_LIMIT_S = 1.0
_WATCH_S = 2.0
_ADDRESS = "10.0.0.1:80"
_PREFIX = "servers/"


class Network:
    """Connections to one store."""

    def __init__(self) -> None:
        self.silenced_at = -1.0
        self.opened = 0

    async def open(self, host: str, port: int) -> Connection:
        """Opens a connection."""
        self.opened += 1
        return Connection(self, trio.current_time())

    def silence(self) -> None:
        """Loses track of all connections that are open."""
        self.silenced_at = trio.current_time()


class Connection:
    """One connection; a watch on it waits for a change that never comes."""

    def __init__(self, network: Network, opened_at: float) -> None:
        self._network = network
        self._opened_at = opened_at
        self._request = b""
        self.socket = mock.Mock()

    async def send_all(self, octets: bytes) -> None:
        """Takes a request, also one that gets lost."""
        self._request = octets

    async def receive_some(self, most: int) -> bytes:
        """Returns the answer of a store without entries."""
        silent = self._opened_at <= self._network.silenced_at
        if silent or b"/kv-watch" in self._request:
            await trio.sleep_forever()
        body = json.dumps({"items": [], "CurrentRev": 1}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


@contextlib.contextmanager
def run_network() -> Iterator[Network]:
    """Puts connections of tests in place of real ones."""
    network = Network()
    with mock.patch.object(trio, "open_tcp_stream", network.open):
        yield network


@trios.clock_test
async def test_reading_after_a_silent_watch_uses_a_new_connection() -> None:
    """New requests reach an upstream five seconds after it said it leaves.

    Something between a host and the store loses track of all connections that
    are open. The host notices at its watch, and then waits once more as long
    for a reading on a connection that it had kept, which is as silent.
    """
    with run_network() as network:
        client = adapter.make_reader(
            (_ADDRESS,), trio_transport.TrioTransport, _LIMIT_S, _WATCH_S
        )
        await client.get_prefix(_PREFIX)
        async with client.watch(_PREFIX, 1) as batches:
            network.silence()
            try:
                await anext(batches)
            except errors.PlatformUnavailableError:
                pass
        found = await client.get_prefix(_PREFIX)
        await client.close()
    assert found.revision == 1
    assert network.opened == 3
