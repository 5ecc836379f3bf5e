"""What a host does on its own at the size to design for, one step each.

Run it with `python -m benchmarks.scale`. It fills the stores of one host in
memory with the planned hosts, services and upstreams, and measures steps whose
cost grows with these: taking in all contracts as a joining host does, placing
a flow, choosing an upstream, looking for the upstreams that it keeps, and one
report of loads.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import gc
import random
import time
import tracemalloc
from typing import Annotated

import typer

from benchmarks import slopes
from benchmarks import usage
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import drains
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import chooser as choosers
from persimmonhinge.keys import store as key_stores
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import frames
from persimmonhinge.peers import streams
from persimmonhinge.peers.messages import control
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as settings_entry
from persimmonhinge.upstreams import roles as role_parts

HOSTS = 610
DOMAINS = 11
SERVICES = 1300
UPSTREAMS = 5000
_ME = 0
_ROUNDS = 5
program = typer.Typer(add_completion=False)


@dataclasses.dataclass(frozen=True)
class Size:
    """A deployment.

    Attributes:
        hosts: Entry hosts.
        services: Contracts.
        upstreams: Targets of all services together.
    """

    hosts: int
    services: int
    upstreams: int


class Host:
    """The stores of one host and what reads them.

    Attributes:
        size: What the stores hold.
        view: All hosts.
        contracts: All contracts.
    """

    def __init__(self, size: Size) -> None:
        self.size = size
        self.view = views.View(_make_member(_ME))
        for number in range(size.hosts):
            self.view.put(_make_member(number))
        self.contracts = stores.ContractStore()
        self.placement = placements.Placement(self.view)
        self.roles = role_parts.Roles(self.view, self.placement, self.contracts)
        self.chooser = choosers.UpstreamChooser(
            self.view,
            self.placement,
            self.contracts,
            _make_network(self.view),
            random.Random(1),
        )

    def fill(self) -> float:
        """Takes in all contracts; returns how long that took, seconds."""
        found = [_make_record(n, self.size) for n in range(self.size.services)]
        began = time.process_time()
        for record in found:
            self.contracts.offer(record)
        return time.process_time() - began


def _make_member(number: int) -> members.Member:
    return members.Member(
        host=ids.HostId(f"entry-{number}"),
        domain=ids.DomainId(f"domain-{number % DOMAINS}"),
        address=f"10.0.{number // 250}.{number % 250 + 1}",
        peer_port=7000,
        heartbeat_port=7001,
        incarnation=ids.Incarnation(1),
        state=members.MemberState.ALIVE,
    )


def _make_network(view: views.View) -> streams.StreamNetwork:
    settings = settings_entry.EntrySettings(
        host="entry-0",
        domain="domain-0",
        peers=settings_entry.PeerSettings(port=0, heartbeat_port=0),
        platform=settings_entry.PlatformSettings(endpoints=("http://[::1]",)),
    )
    return streams.StreamNetwork(settings, view, host_counts.Counts())


def _make_record(number: int, size: Size) -> control.ContractRecord:
    each = size.upstreams / size.services
    first, end = int(number * each), int((number + 1) * each)
    contract = contracts.Contract(
        service=f"service-{number}",
        address=contracts.Address(host="10.1.0.1", port=10_000 + number),
        upstreams=tuple(_make_upstream(n) for n in range(first, end)),
        call_classes=tuple(
            contracts.CallClass(
                name=f"class-{n}", method=contracts.Method.GET, path=f"/{n}/*"
            )
            for n in range(4)
        ),
    )
    body = contract.model_dump_json().encode()
    service = ids.ServiceName(contract.service)
    return control.ContractRecord(service, ids.Revision(number + 1), body)


def _make_upstream(number: int) -> contracts.Upstream:
    return contracts.Upstream(
        id=f"upstream-{number}",
        address=contracts.Address(
            host=f"10.2.{number // 250}.{number % 250 + 1}", port=5683
        ),
        domain=f"domain-{number % DOMAINS}",
        slots=3,
    )


def measure_us(step: Callable[[int], object], times: int) -> float:
    """Returns the best processor time of a step over some rounds."""
    best = float("inf")
    for _ in range(_ROUNDS):
        began = time.process_time()
        for number in range(times):
            step(number)
        best = min(best, time.process_time() - began)
    return best / times * 1e6


def place(host: Host) -> float:
    """Returns the cost of finding the homes of a flow, microseconds."""
    service = ids.ServiceName("service-1")
    return measure_us(
        lambda n: host.placement.rank_homes(service, ("10.3.0.1", n)), 200
    )


def choose(host: Host) -> float:
    """Returns the cost of choosing an upstream, microseconds."""
    entries = host.contracts.entries()
    kind = contracts.CallKind.REQUEST
    return measure_us(
        lambda n: host.chooser.choose(entries[n % len(entries)], kind), 100
    )


def refresh(host: Host) -> float:
    """Returns the cost of one look for what this host keeps, microseconds.

    It follows each change of the view.
    """

    def look(_: int) -> list[bool]:
        host.view.changed.announce()
        return [host.roles.is_kept_here(t) for t in host.roles.list_targets()]

    return measure_us(look, 1)


def take_change(host: Host) -> float:
    """Returns the cost of one changed contract, microseconds."""
    record = _make_record(1, host.size)
    revisions = iter(range(1_000_000, 2_000_000))

    def change(_: int) -> None:
        newer = ids.Revision(next(revisions))
        host.contracts.offer(
            control.ContractRecord(record.service, newer, record.body)
        )

    return measure_us(change, 5)


def compute_digest(host: Host) -> float:
    """Returns the cost of a digest after a change, microseconds."""
    records = record_sets.Records(
        host.contracts,
        key_stores.KeyStore(),
        drains.DrainStore(),
        host_counts.Counts(),
    )

    def digest(_: int) -> bytes:
        host.contracts.changed.announce()
        return records.digest()

    return measure_us(digest, 3)


def count_load_octets(upstreams: float) -> tuple[int, int]:
    """Returns octets of the frames of one question for loads and its answer."""
    load = work.UpstreamLoad(
        ids.UpstreamId("service-1000/upstream-4000"), 3, 1, 0, 1000
    )
    report = work.LoadReport((load,) * round(upstreams))
    writer = frames.FrameWriter()
    question = writer.write(frames.FrameKind.CALL, 1000, work.LoadQuery())
    answer = writer.write(frames.FrameKind.ANSWER, 1000, report)
    return len(question), len(answer)


def measure(size: Size) -> dict[str, float]:
    """Measures all steps at one size."""
    gc.collect()
    tracemalloc.start()
    host = Host(size)
    host.fill()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "state of members and contracts, MB": held / 1e6,
        "all contracts taken in, s": Host(size).fill(),
        "one contract taken in, us": take_change(host),
        "homes of a flow, us": place(host),
        "choice of an upstream, us": choose(host),
        "look for kept upstreams, us": refresh(host),
        "digest after a change, us": compute_digest(host),
    }


@program.command()
def main(
    parts: Annotated[
        str, typer.Option(help="parts of the whole size")
    ] = "0.1,0.25,0.5,1",
) -> None:
    """Prints each step at some sizes, and the line through them."""
    print(f"begins at {usage.describe_load()}")
    found: list[dict[str, float]] = []
    sizes = [float(part) for part in parts.split(",")]
    for part in sizes:
        size = Size(*(round(n * part) for n in (HOSTS, SERVICES, UPSTREAMS)))
        found.append(measure(size))
        print(size)
        for name, value in found[-1].items():
            print(f"  {name}: {value:.3f}")
    for name in found[0]:
        line = slopes.fit_line(sizes, [values[name] for values in found])
        print(
            f"{name}: {line.offset:.3f} + {line.slope:.3f} for the whole size, "
            f"fit {line.fit:.4f}"
        )
    question, answer = count_load_octets(UPSTREAMS / HOSTS)
    asked = 2 * (HOSTS - 1) * question
    print(
        f"loads: {question} octets a question, {answer} an answer; asking "
        f"{HOSTS - 1} hosts twice a second sends {asked} octets/s of questions "
        f"and {2 * (HOSTS - 1) * answer} of answers"
    )
    print(f"ends at {usage.describe_load()}")


if __name__ == "__main__":
    program()
