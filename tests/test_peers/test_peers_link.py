"""Tests of the dialing of one link, on a mock clock."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.peers import dialing
from persimmonhinge.peers import link as links
from persimmonhinge.peers import server as servers
from persimmonhinge.peers import transport as transports
from persimmonhinge.peers.messages import relay
from tests.support import trios
from tests.test_peers import memory_links
from tests.test_peers import pairs

_RELAY = relay.Relay(ids.ServiceName("s"), "127.0.0.1", 1, b"data")


class _SlowStream(trio.abc.Stream):
    """A stream whose closing takes half a second."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Sends octets."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Waits for room."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receives octets."""
        return bytes(await self._stream.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Closes slowly, as under TLS."""
        await trio.sleep(0.5)
        await self._stream.aclose()


class _MemoryTransport(transports.TcpTransport):
    """Dials a server in the same task tree.

    Attributes:
        is_cut: True if dialing never ends.
        dials: Number of attempts.
    """

    def __init__(self, server: servers.Server, nursery: trio.Nursery) -> None:
        self.is_cut = False
        self.dials = 0
        self._server = server
        self._nursery = nursery

    async def dial(self, member: members.Member) -> trio.abc.Stream:
        """Returns a stream to the server, or waits for ever."""
        self.dials += 1
        if self.is_cut:
            await trio.sleep_forever()
        near, far = memory_links.make_streams()
        self._nursery.start_soon(self._server.serve, far, self._nursery)
        return _SlowStream(near)


@dataclasses.dataclass
class _Case:
    """A link from host A to host B.

    Attributes:
        link: The link.
        near: Host A.
        far: Host B; it does not listen.
        transport: What the link dials by.
        arrived: Messages that B received.
    """

    link: links.Link
    near: pairs.Host
    far: pairs.Host
    transport: _MemoryTransport
    arrived: list[relay.Relay]


def _make_case(nursery: trio.Nursery) -> _Case:
    near = pairs.make_host(pairs.A)
    far = pairs.make_host(pairs.B)
    near.learn(pairs.make_member(pairs.B))
    arrived: list[relay.Relay] = []
    table = memory_links.handlers.HandlerTable(far.counts)
    table.set_receiver(
        relay.Relay, lambda host, relayed: arrived.append(relayed)
    )
    server = servers.Server(
        far.settings.peers,
        far.view,
        far.counts,
        transports.TcpTransport(),
        table,
    )
    transport = _MemoryTransport(server, nursery)
    context = dialing.LinkContext(
        near.settings.peers, near.view, near.counts, transport, nursery, set()
    )
    return _Case(links.Link(pairs.B, context), near, far, transport, arrived)


@trios.clock_test
async def test_link_that_only_sends_is_not_idle() -> None:
    """A host relays datagrams to a home for minutes and calls nothing there.

    Were the link closed as idle between two datagrams, those on their way
    would be lost.
    """
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        for _ in range(300):
            assert case.link.send(_RELAY)
            await trio.sleep(1)
        assert len(case.arrived) == 300
        assert case.transport.dials == 1
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_attempt_after_a_failure_takes_no_messages() -> None:
    """Only the streams of two hosts are cut apart; heartbeats still pass.

    Each attempt to dial lasts its full limit. Messages queued meanwhile would
    be lost, a third of all, though another host could serve them.
    """
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        case.transport.is_cut = True
        assert case.link.send(_RELAY)
        await trio.sleep(1.5)
        taken = 0
        for _ in range(1000):
            taken += case.link.send(_RELAY)
            await trio.sleep(0.05)
        assert taken == 0
        assert case.transport.dials > 10
        case.transport.is_cut = False
        with trio.fail_after(10):
            while not case.link.send(_RELAY):
                await trio.sleep(0.05)
        await trio.sleep(1)
        assert case.arrived == [_RELAY]
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_waits_between_attempts_grow_to_a_limit() -> None:
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        case.transport.is_cut = True
        for _ in range(12_000):
            case.link.send(_RELAY)
            await trio.sleep(0.1)
        # Of 1200 s each attempt takes 1 s, and each wait 1.5 to 2 s.
        assert 390 < case.transport.dials < 490
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_message_that_waits_when_a_link_dies_takes_the_next() -> None:
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        case.link.send(_RELAY)
        await trio.sleep(5)
        newer = dataclasses.replace(
            pairs.make_member(pairs.B), incarnation=ids.Incarnation(2)
        )
        case.far.view.put(newer)
        case.near.view.put(newer)
        case.link.send(_RELAY)
        case.link.refresh()
        await trio.sleep(5)
        assert case.transport.dials == 2
        assert len(case.arrived) == 2
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_call_during_a_cut_is_unreachable_and_not_lost() -> None:
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        case.transport.is_cut = True
        for timeout_s in (0.5, 100):
            try:
                await case.link.call(_RELAY, timeout_s)
                raise AssertionError("the call was answered")
            except errors.PeerUnreachableError:
                await trio.sleep(5)
        nursery.cancel_scope.cancel()


@trios.clock_test
async def test_link_that_closes_slowly_does_not_hide_the_next() -> None:
    """A message is sent while an idle link closes, which takes a while.

    The next link is opened at once. Were the end of the old one taken for its
    end, each later message would open one more link.
    """
    async with trio.open_nursery() as nursery:
        case = _make_case(nursery)
        assert case.link.send(_RELAY)
        await trio.sleep(30)
        idle = "peer_links_closed_total"
        while not case.near.counts.get(idle, cause="idle"):
            await trio.sleep(0.1)
        for _ in range(5):
            assert case.link.send(_RELAY)
            await trio.sleep(1)
        assert case.transport.dials == 2
        assert len(case.arrived) == 6
        nursery.cancel_scope.cancel()
