"""Two hosts with peer streams between them, for the tests."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

import trio

from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import streams
from persimmonhinge.peers import transport as transports
from persimmonhinge.settings import entry as settings_entry

ADDRESS = "127.0.0.1"
A = ids.HostId("host-a")
B = ids.HostId("host-b")
DOMAIN = ids.DomainId("hall-1")


@dataclasses.dataclass
class Host:
    """One host of a test.

    Attributes:
        settings: Its settings.
        network: Its streams.
        view: The hosts that it knows.
        counts: Its counters.
    """

    settings: settings_entry.EntrySettings
    network: streams.StreamNetwork
    view: views.View
    counts: metrics.Counts

    @property
    def member(self) -> members.Member:
        """What other hosts know of it."""
        return dataclasses.replace(
            self.view.self_member, peer_port=self.network.port
        )

    def learn(self, member: members.Member) -> None:
        """Puts a host into the view."""
        self.view.put(member)


def make_settings(
    host: ids.HostId, **peers: Any
) -> settings_entry.EntrySettings:
    """Returns settings with a port of the kernel's choice."""
    ports = {"port": 0, "heartbeat_port": 0}
    return settings_entry.EntrySettings.model_validate(
        {
            "host": host,
            "domain": DOMAIN,
            "peers": {**ports, **peers},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )


def make_member(
    host: ids.HostId, *, port: int = 0, incarnation: int = 1
) -> members.Member:
    """Returns a member on loopback."""
    return members.Member(
        host=host,
        domain=DOMAIN,
        address=ADDRESS,
        peer_port=port,
        heartbeat_port=0,
        incarnation=ids.Incarnation(incarnation),
    )


def make_host(
    host: ids.HostId,
    transport: transports.Transport | None = None,
    **peers: Any,
) -> Host:
    """Returns a host that does not run yet."""
    view = views.View(make_member(host))
    counts = metrics.Counts()
    settings = make_settings(host, **peers)
    network = streams.StreamNetwork(settings, view, counts, transport)
    return Host(settings, network, view, counts)


@contextlib.asynccontextmanager
async def open_pair(
    first: Host | None = None, second: Host | None = None
) -> AsyncIterator[tuple[Host, Host]]:
    """Runs two hosts that know each other."""
    first = first or make_host(A)
    second = second or make_host(B)
    async with trio.open_nursery() as nursery:
        await nursery.start(first.network.run)
        await nursery.start(second.network.run)
        first.learn(second.member)
        second.learn(first.member)
        yield first, second
        nursery.cancel_scope.cancel()
