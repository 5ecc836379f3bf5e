"""Tests of the fabric stand-in."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import trio
import trio.testing

from tests.standins import fabric as fabrics
from tests.standins import ports
from tests.support import trios

HOSTS = {"a": "127.1.0.1", "b": "127.1.0.2", "c": "127.1.0.3"}
DATAGRAMS = 60
PATIENCE_S = 10.0


class Bench:
    """A fabric, hosts that echo, and two callers."""

    def __init__(self, fabric: fabrics.Fabric, port: int) -> None:
        self.fabric = fabric
        self.received: dict[str, list[fabrics.Address]] = {n: [] for n in HOSTS}
        self._port = port

    async def serve_host(self, name: str) -> None:
        """Echoes what a host is sent."""
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.bind((HOSTS[name], self._port))
            while True:
                data, source = await socket.recvfrom(100)
                self.received[name].append(source)
                await socket.sendto(data, source)

    async def call(
        self, count: int = DATAGRAMS, limit_s: float = PATIENCE_S
    ) -> int:
        """Sends datagrams one after another; returns how many came back."""
        answered = 0
        with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as socket:
            await socket.connect(("127.0.0.1", self._port))
            for number in range(count):
                await socket.send(b"%d" % number)
                with trio.move_on_after(limit_s):
                    assert await socket.recv(100) == b"%d" % number
                    answered += 1
        return answered


@contextlib.asynccontextmanager
async def open_bench(seed: int = 1) -> AsyncIterator[Bench]:
    port = ports.find_udp_port(["127.0.0.1", *HOSTS.values()])
    async with trio.open_nursery() as nursery:
        fabric = fabrics.Fabric(dict(HOSTS), seed, nursery)
        bench = Bench(fabric, port)
        service = fabrics.Service("floor", ("127.0.0.1", port))
        nursery.start_soon(fabric.serve, service)
        for name in HOSTS:
            nursery.start_soon(bench.serve_host, name)
        await trio.testing.wait_all_tasks_blocked()
        yield bench
        nursery.cancel_scope.cancel()


@trios.trio_test
async def test_each_flow_has_one_address_at_all_hosts() -> None:
    async with open_bench() as bench:
        assert await bench.call() == DATAGRAMS
        assert await bench.call() == DATAGRAMS
        assert all(len(seen) > 10 for seen in bench.received.values())
        sources = [set(seen) for seen in bench.received.values()]
        assert sources[0] == sources[1] == sources[2]
        assert len(sources[0]) == 2


@trios.trio_test
async def test_sticky_flow_meets_one_host() -> None:
    async with open_bench() as bench:
        bench.fabric.sticky = True
        await bench.call()
        assert sorted(map(len, bench.received.values())) == [0, 0, DATAGRAMS]


@trios.trio_test
async def test_removed_host_gets_nothing() -> None:
    async with open_bench() as bench:
        control = fabrics.Control(bench.fabric)
        control.run({"do": "remove-host", "host": "a"})
        assert await bench.call() == DATAGRAMS
        assert not bench.received["a"]
        control.run({"do": "add-host", "host": "a", "address": HOSTS["a"]})
        await bench.call()
        assert bench.received["a"]


@trios.trio_test
async def test_cut_host_drops_what_it_is_given() -> None:
    async with open_bench() as bench:
        control = fabrics.Control(bench.fabric)
        control.run({"do": "cut", "host": "a"})
        assert 0 < await bench.call(12, limit_s=0.2) < 12
        assert not bench.received["a"]
        control.run({"do": "heal", "host": "a"})
        assert await bench.call(12) == 12
