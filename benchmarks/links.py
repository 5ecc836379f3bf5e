"""Memory of links between hosts, and what quiet ones cost.

Run it with `python -m benchmarks.links`. One host calls many others in the
same process over loopback with TLS, and each calls it back. So the growth for
each other host is that of a link that was dialed and one that was accepted, at
both ends: twice what a host holds for each peer when all call all.
"""

from __future__ import annotations

import logging
import os
import pathlib
import tempfile
import time
from typing import Annotated

import trio
import typer

from benchmarks import slopes
from benchmarks import usage
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers import streams
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as settings_entry
from tests.standins import credentials

_ADDRESS = "127.0.0.1"
_CALL_S = 10.0
_LOOK_S = 5.0
_DESIGN_PEERS = 609
program = typer.Typer(add_completion=False)


class Host:
    """One host with its streams.

    Attributes:
        name: Its name.
        view: The hosts that it knows.
        counts: Its counters.
        network: Its streams.
    """

    def __init__(self, name: str, issuer: credentials.Credentials) -> None:
        self.name = ids.HostId(name)
        settings = settings_entry.EntrySettings(
            host=name,
            domain="north",
            peers=settings_entry.PeerSettings(
                address=_ADDRESS,
                port=0,
                heartbeat_port=0,
                tls=issuer.issue(name),
                connect_timeout_s=_CALL_S,
            ),
            platform=settings_entry.PlatformSettings(
                endpoints=("http://127.0.0.1:1",)
            ),
        )
        self.counts = host_counts.Counts()
        self.view = views.View(_make_member(self.name, 0))
        self.network = streams.StreamNetwork(settings, self.view, self.counts)
        self.network.handle(work.LoadQuery, _answer)

    async def start(self, nursery: trio.Nursery) -> None:
        """Listens."""
        await nursery.start(self.network.run)

    async def call(self, other: Host) -> None:
        """Calls another host, by which a link to it is opened."""
        self.view.put(_make_member(other.name, other.network.port))
        await self.network.call(other.name, work.LoadQuery(), _CALL_S)


async def _answer(
    caller: networks.Caller, query: work.LoadQuery
) -> work.LoadReport:
    return work.LoadReport(())


def _make_member(name: ids.HostId, port: int) -> members.Member:
    return members.Member(
        host=name,
        domain=ids.DomainId("north"),
        address=_ADDRESS,
        peer_port=port,
        heartbeat_port=0,
        incarnation=ids.Incarnation(1),
        state=members.MemberState.ALIVE,
    )


async def measure(sizes: list[int], issuer: credentials.Credentials) -> None:
    """Prints memory at each number of peers."""
    held: list[float] = []
    async with trio.open_nursery() as nursery:
        hub = Host("hub", issuer)
        await hub.start(nursery)
        peers: list[Host] = []
        taken = 0.0
        for size in sizes:
            more = [Host(f"peer-{n}", issuer) for n in range(len(peers), size)]
            for peer in more:
                await peer.start(nursery)
            before = usage.read_memory(os.getpid()).rss
            for peer in more:
                await hub.call(peer)
                await peer.call(hub)
            peers += more
            taken += usage.read_memory(os.getpid()).rss - before
            held.append(taken)
            print(f"{size:4} peers: {taken / 1e6:.1f} MB in links; ", end="")
            await _print_quiet(hub)
        nursery.cancel_scope.cancel()
    line = slopes.fit_line(sizes, held)
    print(
        f"slope: {line.slope:.0f} octets for a peer's two links at both ends, "
        f"fit {line.fit:.4f}; half of it for {_DESIGN_PEERS} peers is "
        f"{line.slope / 2 * _DESIGN_PEERS / 1e6:.1f} MB"
    )


async def _print_quiet(hub: Host) -> None:
    name = "peer_octets_sent_total"
    octets = hub.counts.sum(name)
    spent_s = time.process_time()
    await trio.sleep(_LOOK_S)
    octets = hub.counts.sum(name) - octets
    spent_s = time.process_time() - spent_s
    print(
        f"quiet, the hub sends {octets / _LOOK_S:.0f} octets/s and all ends "
        f"take {spent_s / _LOOK_S:.2%} of a core"
    )


@program.command()
def main(
    sizes: Annotated[str, typer.Option(help="numbers of peers")] = "25,75,150",
) -> None:
    """Measures links at some numbers of peers."""
    logging.disable()
    print(f"begins at {usage.describe_load()}")
    with tempfile.TemporaryDirectory() as name:
        issuer = credentials.Credentials(pathlib.Path(name))
        trio.run(measure, [int(size) for size in sizes.split(",")], issuer)
    print(f"ends at {usage.describe_load()}")


if __name__ == "__main__":
    program()
