"""Tests of the fault-injecting proxy."""

from __future__ import annotations

import trio

from tests.standins import faults_process
from tests.standins import faults_proxy
from tests.standins import faults_rules as rules
from tests.standins import ports
from tests.support import trios

_SEED = 3
_FORWARD = rules.Direction.FORWARD
_BACK = rules.Direction.BACK


async def _echo(stream: trio.SocketStream) -> None:
    try:
        async for data in stream:
            await stream.send_all(data)
    except trio.BrokenResourceError:
        pass


async def _start_tcp_echo(nursery: trio.Nursery) -> tuple[str, int]:
    listeners = await trio.open_tcp_listeners(0, host=faults_proxy.LOOPBACK)
    nursery.start_soon(trio.serve_listeners, _echo, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return host, port


async def _open_udp() -> trio.socket.SocketType:
    socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    await socket.bind((faults_proxy.LOOPBACK, 0))
    return socket


async def _exchange(stream: trio.SocketStream, data: bytes) -> bytes:
    await stream.send_all(data)
    return bytes(await stream.receive_some(100))


async def _gets_nothing(stream: trio.SocketStream) -> bool:
    with trio.move_on_after(0.1):
        await stream.receive_some(100)
        return False
    return True


@trios.trio_test
async def test_cut_holds_octets_until_it_ends() -> None:
    async with trio.open_nursery() as nursery:
        target = await _start_tcp_echo(nursery)
        proxy = faults_proxy.FaultProxy(nursery)
        stream = await trio.open_tcp_stream(*await proxy.add_tcp("m", target))
        assert await _exchange(stream, b"one") == b"one"
        for direction in rules.Direction:
            proxy.table.set(rules.Fault(cut=True), direction=direction)
            await stream.send_all(b"two")
            assert await _gets_nothing(stream)
            proxy.table.clear()
            assert await stream.receive_some(100) == b"two"
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_black_hole_silences_open_connections_only() -> None:
    async with trio.open_nursery() as nursery:
        target = await _start_tcp_echo(nursery)
        proxy = faults_proxy.FaultProxy(nursery)
        address = await proxy.add_tcp("m", target)
        old = await trio.open_tcp_stream(*address)
        assert await _exchange(old, b"one") == b"one"
        proxy.black_hole("m")
        await old.send_all(b"two")
        assert await _gets_nothing(old)
        new = await trio.open_tcp_stream(*address)
        assert await _exchange(new, b"three") == b"three"
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_reset_reaches_the_client() -> None:
    async with trio.open_nursery() as nursery:
        target = await _start_tcp_echo(nursery)
        proxy = faults_proxy.FaultProxy(nursery)
        stream = await trio.open_tcp_stream(*await proxy.add_tcp("m", target))
        assert await _exchange(stream, b"one") == b"one"
        proxy.reset()
        try:
            await stream.receive_some(100)
        except trio.BrokenResourceError:
            nursery.cancel_scope.cancel()
            return
        raise AssertionError("the connection was not reset")


@trios.trio_test
async def test_datagrams_return_to_their_source_and_can_be_cut() -> None:
    async with trio.open_nursery() as nursery:
        target = await _open_udp()
        proxy = faults_proxy.FaultProxy(nursery)
        address = await proxy.add_udp("m", target.getsockname())
        clients = [await _open_udp() for _ in range(2)]
        for number, client in enumerate(clients):
            await client.sendto(b"%d" % number, address)
            data, path = await target.recvfrom(100)
            await target.sendto(data + b" back", path)
        for number, client in enumerate(clients):
            assert await client.recvfrom(100) == (b"%d back" % number, address)
        proxy.table.set(rules.Fault(cut=True), direction=_BACK)
        await target.sendto(b"lost", path)
        while proxy.counts()["m"].get("lost", 0) < 1:
            await trio.sleep(0.001)
        proxy.table.clear()
        proxy.table.set(rules.Fault(duplicate=1), direction=_FORWARD)
        await clients[0].sendto(b"twice", address)
        assert (await target.recvfrom(100))[0] == b"twice"
        assert (await target.recvfrom(100))[0] == b"twice"
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_seed_gives_the_same_losses() -> None:
    async def count_lost(nursery: trio.Nursery) -> list[int]:
        target = await _open_udp()
        proxy = faults_proxy.FaultProxy(nursery, seed=7)
        address = await proxy.add_udp("m", target.getsockname())
        proxy.table.set(rules.Fault(drop=0.5))
        client = await _open_udp()
        for number in range(20):
            await client.sendto(b"%d" % number, address)
        counts = proxy.counts()["m"]
        while sum(counts.values()) < 20:
            await trio.sleep(0.001)
            counts = proxy.counts()["m"]
        got = counts["forward"]
        return sorted([int((await target.recvfrom(9))[0]) for _ in range(got)])

    async with trio.open_nursery() as nursery:
        first = await count_lost(nursery)
        assert 0 < len(first) < 20
        assert await count_lost(nursery) == first
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_process_is_driven_over_its_control_port() -> None:
    async with (
        trio.open_nursery() as nursery,
        faults_process.run_proxy(_SEED) as client,
    ):
        target = await _start_tcp_echo(nursery)
        address = (faults_proxy.LOOPBACK, await client.add_tcp("m", target))
        stream = await trio.open_tcp_stream(*address)
        assert await _exchange(stream, b"one") == b"one"
        await client.set(rules.Fault(cut=True), source=faults_proxy.LOOPBACK)
        await stream.send_all(b"two")
        assert await _gets_nothing(stream)
        await client.clear()
        assert await stream.receive_some(100) == b"two"
        assert (await client.counts())["m"]["octets back"] == 6
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_mesh_shows_outer_addresses_and_harms_one_pair_one_way() -> None:
    inner = [f"127.0.5.{number}" for number in (1, 2, 3)]
    outer = [f"127.0.6.{number}" for number in (1, 2, 3)]
    port = ports.find_udp_port([*inner, *outer])
    pairs = zip(inner, outer, strict=True)
    hosts = dict(zip("abc", pairs, strict=True))
    async with faults_process.run_proxy(_SEED) as client:
        await client.add_mesh("peers", hosts, port)
        sockets = []
        for address in inner:
            bound = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
            await bound.bind((address, port))
            sockets.append(bound)
        a, b, _ = sockets
        await a.sendto(b"one", (outer[1], port))
        assert await b.recvfrom(9) == (b"one", (outer[0], port))
        cut = rules.Fault(cut=True)
        await client.set(cut, name="peers b", source=inner[0])
        await a.sendto(b"lost", (outer[1], port))
        await b.sendto(b"two", (outer[0], port))
        assert await a.recvfrom(9) == (b"two", (outer[1], port))
        await client.clear()
        await a.sendto(b"three", (outer[1], port))
        assert (await b.recvfrom(9))[0] == b"three"


@trios.trio_test
async def test_unknown_mapping_is_an_error_of_the_command() -> None:
    async with faults_process.run_proxy(_SEED) as client:
        try:
            await client.reset("unknown")
        except ValueError as error:
            assert "unknown" in str(error)
            return
        raise AssertionError("the command was taken")
