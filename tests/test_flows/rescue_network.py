"""A fake network between the hosts of a test, over controllable wires."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
from typing import Any
from typing import TYPE_CHECKING

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member
from persimmonhinge.peers import errors as errors_module
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base
from tests.test_flows import rescue_links

if TYPE_CHECKING:
    from tests.test_flows import rescue_world

_LINK_DELAY_S = 0.001


class WorldNetwork:
    """Implements `PeerNetwork` for one host of a test."""

    def __init__(self, world: rescue_world.RescueWorld, me: ids.HostId) -> None:
        self._world = world
        self._me = me
        self._handlers: dict[type[base.Message], Any] = {}
        self.sides: dict[ids.HostId, set[rescue_links.CallSide]] = {}

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Sends a message that has no answer."""
        wire = self._world.get_wire(self._me, host)
        served = rescue_links.CallSide(self._me, rescue_links.Wire())
        served.connect(rescue_links.CallSide(host, rescue_links.Wire()))
        other = self._world.hosts[host].network
        wire.send(lambda: other.start_handler(served, message))
        return True

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Calls the handler of another host."""
        with trio.move_on_after(timeout_s):
            async with self.open(host, message, timeout_s) as stream:
                return await stream.receive()
        raise errors.PeerCallTimeoutError("late", step="call", peer=host)

    @contextlib.asynccontextmanager
    async def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> AsyncIterator[network.PeerStream]:
        """Opens a stream to another host or to this host itself."""
        await trio.sleep(_LINK_DELAY_S)
        await self._check_reachable(host, timeout_s)
        other = self._world.hosts[host].network
        mine = rescue_links.CallSide(host, self._world.get_wire(self._me, host))
        served = rescue_links.CallSide(
            self._me, self._world.get_wire(host, self._me)
        )
        mine.connect(served)
        self.sides.setdefault(host, set()).add(mine)
        other.sides.setdefault(self._me, set()).add(served)
        self._world.get_wire(self._me, host).send(
            lambda: other.start_handler(served, message)
        )
        try:
            yield mine
        finally:
            mine.close_by_caller()
            self.sides.get(host, set()).discard(mine)

    def start_handler(
        self, side: rescue_links.CallSide, message: base.Message
    ) -> None:
        """Runs the handler of a message that arrived."""
        host = self._world.hosts[self._me]
        if host.is_up:
            host.nursery.start_soon(self._serve, side, message)

    def break_links(self, host: ids.HostId) -> None:
        """Breaks all open calls with a host, from this side."""
        for side in self.sides.pop(host, set()):
            side.break_link()

    async def _serve(
        self, side: rescue_links.CallSide, message: base.Message
    ) -> None:
        handler = self._handlers[type(message)]
        answer = await handler(side, message)
        await side.finish(answer)
        self.sides.get(side.host, set()).discard(side)

    async def _check_reachable(
        self, host: ids.HostId, timeout_s: float
    ) -> None:
        peer = self._world.hosts[self._me].view.get(host)
        if peer is None or not peer.is_alive:
            raise self._make_unreachable(host)
        wires = (
            self._world.get_wire(self._me, host),
            self._world.get_wire(host, self._me),
        )
        with trio.move_on_after(timeout_s):
            while any(w.state is not rescue_links.WireState.UP for w in wires):
                await trio.sleep(_LINK_DELAY_S)
        if any(w.state is not rescue_links.WireState.UP for w in wires):
            raise self._make_unreachable(host)
        if not self._world.hosts[host].is_up:
            raise self._make_unreachable(host)
        self._check_accepted(host)

    def _check_accepted(self, host: ids.HostId) -> None:
        me = self._world.hosts[self._me].view.self_member
        seen_by_peer = self._world.hosts[host].view.get(self._me)
        assert seen_by_peer is not None
        if seen_by_peer.state is not member.MemberState.DEAD:
            return
        if seen_by_peer.incarnation == me.incarnation:
            raise errors_module.PeerGaveUpError("dead", step="open", peer=host)

    def _make_unreachable(self, host: ids.HostId) -> errors.PeerError:
        return errors.PeerUnreachableError("down", step="open", peer=host)
