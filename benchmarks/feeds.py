"""Memory of an open feed at its home: a task each, or a row alone.

Run it with `python -m benchmarks.feeds`. One process holds the home's part of
feeds between fakes: each caller opened one and got one event. `tasks` is the
product. `rows` holds the same rows, fed by one task for each keeper through a
table of feed numbers, as a stream that all feeds of a keeper share would; it
has no task, cancel scope or call of its own for a feed.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import enum
import gc
import json
import os
import time
from typing import Annotated
from typing import Any

import aiocoap
import trio
import typer

from benchmarks import slopes
from benchmarks import usage
from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store
from persimmonhinge.flows import feeds
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import feed as feed_rows
from persimmonhinge.flows.feeds import source as sources
from persimmonhinge.flows.feeds import table as tables
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import local
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import control
from persimmonhinge.peers.messages import feeds as messages
from persimmonhinge.settings import entry as settings_entry

_SERVICE = ids.ServiceName("floor-trading")
_HOST = ids.HostId("h1")
_UPSTREAMS = 7
_PORTS = 50_000
_FIRST_PORT = 10_000
_CONTRACT = {
    "service": _SERVICE,
    "address": "127.0.0.1:5683",
    "upstreams": [
        {
            "id": f"target-{number}",
            "address": f"127.0.0.1:{7000 + number}",
            "domain": "d1",
            "slots": 2,
        }
        for number in range(_UPSTREAMS)
    ],
    "call_classes": [
        {"name": "prices", "method": "GET", "path": "/prices", "kind": "feed"}
    ],
}
program = typer.Typer(add_completion=False)


class Shape(enum.Enum):
    """How the feeds are held."""

    TASKS = "tasks"
    ROWS = "rows"


class Surroundings:
    """Stands for network, chooser and answers of a home."""

    def __init__(self) -> None:
        self.sent = 0
        self._turn = 0

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Is not needed."""

    def send(self, *args: Any) -> Any:
        """Counts a message to a caller."""
        self.sent += 1

    def next_message_id(self, flow: port.Flow) -> int:
        """Returns a message id."""
        return self.sent & 0xFFFF

    async def call(self, *args: Any) -> base.Message:
        """Is not needed."""
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> AsyncIterator[local.LocalCall]:
        """Opens a call of the product whose keeper gives one event."""
        call, _ = local.make_call(host)
        call.deliver(messages.FeedEvent(1, make_answer()))
        yield call

    def choose(
        self, entry: store.ContractEntry, *args: Any, **kwargs: Any
    ) -> port.Choice:
        """Chooses upstreams in turn."""
        self._turn = (self._turn + 1) % _UPSTREAMS
        upstream = entry.contract.upstreams[self._turn]
        return port.Choice(upstream, _HOST, ids.HostRef(1))

    def pick_keepers(self, *args: Any) -> tuple[ids.HostRef, ...]:
        """Is not needed."""
        return ()

    def record_load(self, *args: Any) -> None:
        """Is not needed."""

    def record_start(self, *args: Any) -> None:
        """Counts nothing."""

    def record_end(self, *args: Any) -> None:
        """Counts nothing."""


def make_answer() -> bytes:
    """Returns a price of 100 octets."""
    message = codec.Message(code=aiocoap.CONTENT, payload=b"7" * 100)
    message.mtype, message.mid, message.token = aiocoap.NON, 0, b""
    return codec.encode(message)


def make_request(number: int) -> codec.Message:
    """Returns the registration of a caller."""
    message = codec.Message(code=aiocoap.GET, observe=0)
    message.opt.uri_path = ("prices",)
    message.mtype, message.mid = aiocoap.NON, number & 0xFFFF
    message.token = number.to_bytes(4, "big")
    return codec.decode(codec.encode(message))


def make_flow(number: int) -> port.Flow:
    """Returns the flow of a caller, in strings of its own."""
    host = f"127.1.{number // _PORTS}.1"
    return port.Flow(_SERVICE, (host, _FIRST_PORT + number % _PORTS))


def make_contracts() -> store.ContractStore:
    """Returns a store with the contract of the benchmark."""
    contract_store = store.ContractStore()
    body = json.dumps(_CONTRACT).encode()
    record = control.ContractRecord(_SERVICE, ids.Revision(1), body)
    contract_store.offer(record)
    return contract_store


def make_feeds(
    around: Surroundings, contract_store: store.ContractStore
) -> feeds.Feeds:
    """Returns the product's feeds between fakes."""
    settings = settings_entry.EntrySettings.model_validate(
        {
            "host": _HOST,
            "domain": "d1",
            "peers": {"port": 0, "heartbeat_port": 0},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )
    me = members.Member(
        _HOST, ids.DomainId("d1"), "127.0.0.1", 1, 2, ids.Incarnation(1)
    )
    view = views.View(me)
    return feeds.Feeds(
        settings,
        view,
        placements.Placement(view),
        contract_store,
        around,
        around,
        around,
        host_counts.Counts(),
    )


async def measure_tasks(sizes: list[int]) -> list[tuple[int, float]]:
    """Returns the memory at each size, with the product's feeds."""
    around = Surroundings()
    contract_store = make_contracts()
    desk = make_feeds(around, contract_store)
    entry = contract_store.get(_SERVICE)
    assert entry is not None
    points = []
    async with trio.open_nursery() as nursery:
        await nursery.start(desk.run)
        for size in sizes:
            for number in range(desk.count(), size):
                call_class = entry.contract.call_classes[0]
                flow = make_flow(number)
                desk.open(flow, make_request(number), entry, call_class)
                await trio.lowlevel.checkpoint()
            while around.sent < size:
                await trio.sleep(0.01)
            points.append((size, read_octets()))
        nursery.cancel_scope.cancel()
    return points


async def measure_rows(sizes: list[int]) -> list[tuple[int, float]]:
    """Returns the memory at each size, with rows alone."""
    entry = make_contracts().get(_SERVICE)
    assert entry is not None
    table = tables.FeedTable()
    by_number: dict[int, sources.Source] = {}
    points = []
    for size in sizes:
        for number in range(len(table), size):
            source = make_row(number, entry.contract)
            table.add(source.feed)
            by_number[number] = source
        await trio.lowlevel.checkpoint()
        points.append((size, read_octets()))
    return points


def make_row(number: int, contract: contracts.Contract) -> sources.Source:
    """Returns a feed that is served, without anything of its own to run."""
    request = make_request(number)
    feed = feed_rows.Feed(
        make_flow(number),
        request.token,
        codec.encode(request),
        contract.call_classes[0],
        1,
        trio.current_time(),
        recent_digests=b"1234",
        newest_answer=make_answer(),
    )
    upstream = contract.upstreams[number % _UPSTREAMS]
    no_scope: Any = None
    feed.source = sources.Source(
        feed, upstream, _HOST, ids.HostRef(1), no_scope, used=True
    )
    return feed.source


def read_octets() -> float:
    """Returns the proportional memory of this process."""
    gc.collect()
    return usage.read_memory(os.getpid()).pss


@program.command()
def main(
    shape: Annotated[Shape, typer.Option()] = Shape.TASKS,
    sizes: Annotated[str, typer.Option()] = "0,1000,10000,50000",
) -> None:
    """Prints memory at each size and the octets of one feed."""
    counts = [int(size) for size in sizes.split(",")]
    measure = measure_tasks if shape is Shape.TASKS else measure_rows
    began = time.monotonic()
    points = trio.run(measure, counts)
    for size, octets in points:
        print(f"{shape.value} {size:>7} feeds {octets / 1e6:8.1f} MB")
    line = slopes.fit_line([p[0] for p in points], [p[1] for p in points])
    print(
        f"{shape.value}: {line.slope:.0f} octets a feed, "
        f"fit {line.fit:.4f}, {time.monotonic() - began:.0f} s"
    )


if __name__ == "__main__":
    program()
