"""What forwarding costs: packets, choices, reports, memory.

    python -m benchmarks.forwarding

Runs the decisions of one host in this process, without sockets, and prints one
JSON object: microseconds for each packet and choice by the number of upstreams
of a service, for each report and entry, and octets for each flow and entry.
"""

from __future__ import annotations

from collections.abc import Callable
import json
import logging
import time
import tracemalloc

import msgspec

from persimmonhinge.forwarding import entry_replica
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import flow_table as flow_tables
from persimmonhinge.forwarding import knowledge as knowledge_parts
from persimmonhinge.forwarding import tracker as trackers
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding import upstream_load as load_lines
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import peer_table as books
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.platform import adapter
from persimmonhinge.platform import entries
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as readers

_REPEATS = 2000
_FLOWS = 20_000
_UPSTREAMS = (7, 75, 600, 5_000)
_LINES = 32
_ENTRIES = 5000


def measure_us(work: Callable[[int], object], count: int = _REPEATS) -> float:
    """Returns the processor time of one call, microseconds."""
    began = time.process_time()
    for number in range(count):
        work(number)
    return round((time.process_time() - began) / count * 1e6, 1)


def make_scene(count: int) -> scenes.Scene:
    """Returns a host that knows so many upstreams of one service."""
    scene = scenes.Scene()
    for number in range(1, count + 1):
        scene.add(scenes.make_upstream(number))
    scene.output.to_upstreams = _Nowhere()
    return scene


class _Nowhere(list[tuple[bytes, flows.Endpoint]]):
    """Takes what is sent and keeps nothing."""

    def append(self, item: tuple[bytes, flows.Endpoint]) -> None:
        """Drops it."""


def measure_packets(count: int) -> dict[str, float]:
    """Returns the cost of an opening and of a later packet."""
    scene = make_scene(count)
    known: list[upstreams.Upstream] = list(scene.knowledge.directory.list_all())
    opening = measure_us(
        lambda n: scene.receive(scenes.make_packet(n % 60_000, scenes.SYN))
    )
    token = known[0].token
    later = measure_us(
        lambda n: scene.receive(
            scenes.make_packet(
                n % 60_000, scenes.ACK, token=token, sequence=n, data=500
            )
        )
    )
    return {"opening_us": opening, "later_us": later}


def measure_flow_octets() -> float:
    """Returns the memory of a flow that is remembered, octets."""
    scene = make_scene(7)
    scene.tracker = trackers.FlowTracker(
        flow_tables.FlowTable(2 * _FLOWS), scene.loads, scene.counts
    )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    upstream = scenes.make_upstream(1)
    for number in range(_FLOWS):
        flow = flows.FlowId(0x64400007, number, scenes.ADDRESS, scenes.PORT)
        scene.tracker.record_opening(flow, upstream.id, upstream.token)
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round((after - before) / _FLOWS, 0)


def measure_reports() -> dict[str, float]:
    """Returns the cost of a report, made and taken in, and its size."""
    lines = tuple(
        load_lines.UpstreamLoad(0xF0000000 + number, 3, 250)
        for number in range(_LINES)
    )
    scene = make_scene(7)
    book = books.PeerTable(
        flows.Endpoint("10.0.0.1", 1), scene.loads, scene.suspicions
    )
    decoder = msgspec.msgpack.Decoder(messages.Report | messages.EntryUpdate)

    def make(number: int) -> bytes:
        report = messages.Report(
            host="host-1",
            incarnation=1,
            sequence=number,
            interval_ms=100,
            domain="north",
            revision=5,
            age_ms=10,
            leaving=False,
            reaches_store=True,
            loads=lines,
            peers=(),
        )
        return msgspec.msgpack.encode(report)

    def take(number: int) -> None:
        message = decoder.decode(packed[number])
        assert isinstance(message, messages.Report)
        book.apply_report(flows.Endpoint("10.0.0.2", 1), message, float(number))

    packed = [make(number) for number in range(_REPEATS)]
    return {
        "octets": len(packed[0]),
        "make_us": measure_us(make),
        "take_us": measure_us(take),
    }


def measure_entry_octets() -> float:
    """Returns the memory of an upstream that is known, octets."""
    knowledge = knowledge_parts.Knowledge(60.0, 2.2)
    reader = entry_replica.EntryReplica(
        adapter.EntryFormat(), knowledge, host_counts.Counts()
    )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(_ENTRIES):
        reader.apply(
            readers.make_key(f"{number:010x}"),
            readers.make_entry(),
            number + 1,
        )
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return round((after - before) / _ENTRIES, 0)


def measure_entries() -> dict[str, float]:
    """Returns the cost of reading entries."""
    entry = readers.make_entry()
    routes = [
        {
            "Name": f"r-{number}",
            "Host": f"198.18.{number // 250}.{number % 250}",
            "Prefix": "/443/",
            "Service": "floor",
        }
        for number in range(1300)
    ]
    state = msgspec.json.encode({"Version": 1, "Routes": routes})
    return {
        "upstream_us": measure_us(
            lambda n: entries.decode_upstream(f"servers/i-{n:x}", entry)
        ),
        "state_of_1300_routes_ms": measure_us(
            lambda n: entries.decode_desired_state(state), 20
        )
        / 1000,
        "state_octets": len(state),
    }


def main() -> None:
    """Measures and prints."""
    logging.disable(logging.CRITICAL)
    result = {
        "packets": {count: measure_packets(count) for count in _UPSTREAMS},
        "flow_octets": measure_flow_octets(),
        "upstream_octets": measure_entry_octets(),
        "report": measure_reports(),
        "entries": measure_entries(),
    }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
