"""A fake network for calls between hosts and streams to upstreams."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds
from tests.test_flows import feeds_upstreams
from tests.test_flows import feeds_values

if TYPE_CHECKING:
    from tests.test_flows import feeds_hosts


class FakeNetwork:
    """Network of one host: calls to hosts, streams to fake upstreams."""

    def __init__(self, host: feeds_hosts.Host) -> None:
        self._host = host
        self._world = host.world
        self.handlers: dict[type[base.Message], Any] = {}

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Registers the handler of a message type."""
        self.handlers[message_type] = handler

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Accepts notifications to keepers and discards them."""
        assert isinstance(message, feeds.FeedLeft)
        return True

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Runs the handler of another host."""
        self._check_up(host)
        await trio.sleep(feeds_values.LINK_DELAY_S)
        handler = self._world.hosts[host].network.handlers[type(message)]
        peer = feeds_upstreams.FakePeer(ids.HostId(self._host.name))
        reply: base.Message = await handler(peer, message)
        await trio.sleep(feeds_values.LINK_DELAY_S)
        if self._world.is_unreachable(host):
            raise errors.PeerLinkLostError("cut", step="call", peer=host)
        return reply

    @contextlib.asynccontextmanager
    async def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> AsyncIterator[feeds_upstreams.FakeStream]:
        """Opens a stream at a fake upstream."""
        assert isinstance(message, feeds.FeedOpen)
        await trio.sleep(feeds_values.LINK_DELAY_S)
        self._check_up(host)
        stream = feeds_upstreams.FakeStream(message, host)
        self._world.upstreams[message.upstream].accept(stream)
        try:
            yield stream
        finally:
            stream.closed = True

    def _check_up(self, host: ids.HostId) -> None:
        if self._world.is_unreachable(host):
            raise errors.PeerUnreachableError("down", step="call", peer=host)
