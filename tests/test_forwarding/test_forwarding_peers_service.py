"""Tests of what a host does with reports."""

from __future__ import annotations

import socket
import time

from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.forwarding.peers import following
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import service as services
from persimmonhinge.platform import adapter
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers

PEER = flows.Endpoint("10.0.0.2", 7720)


class Listener:
    """A host that takes in reports, without a network."""

    def __init__(self) -> None:
        settings = forward_settings.parse(
            b"{host: h-1, domain: north, packets: '127.0.0.1:1',"
            b" pages: '127.0.0.1:2', peer_ports: [3, 18],"
            b" store: {address: '127.0.0.1:9'}}"
        )
        bound = socket.socket(type=socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        self.core = cores.ForwardCore(
            settings, bound, adapter.PacketFormat(), adapter.EntryFormat()
        )
        bound.close()
        role = following.Following(
            "h-1",
            "north",
            self.core.peers,
            self.core.knowledge,
            settings.max_current_age_s,
            time.monotonic(),
        )
        self.service = services.PeerService(self.core, role)
        self._sequence = 0

    def hear(self, *, reaches_store: bool, age_ms: int = 0) -> None:
        """Has a report of the peer come."""
        self._sequence += 1
        report = messages.Report(
            host="h-2",
            incarnation=1,
            sequence=self._sequence,
            interval_ms=100,
            domain="north",
            revision=0,
            age_ms=age_ms,
            leaving=False,
            reaches_store=reaches_store,
            loads=(),
            peers=(),
        )
        self.service.take_report(report, PEER)


@trios.trio_test
async def test_outage_that_the_last_follower_saw_is_a_reason_to_doubt() -> None:
    """All feeds break at the host that takes over from another one.

    The host that follows the store is refused; entries expire meanwhile; the
    next one reads them right after the store's return and finds none. Cause:
    the second never saw the outage.
    """
    listener = Listener()
    key = readers.make_key("1")
    listener.core.entries.apply(key, readers.make_entry(), 5)
    listener.hear(reaches_store=True)
    listener.hear(reaches_store=False)
    listener.core.entries.apply(key, None, 6)
    (known,) = listener.core.knowledge.directory.list_all()
    assert known.state is upstreams.UpstreamState.MISSING


@trios.trio_test
async def test_confirmation_of_another_host_is_as_old_as_it_says() -> None:
    listener = Listener()
    listener.hear(reaches_store=True, age_ms=700)
    age_ms = listener.core.knowledge.compute_age_ms(time.monotonic())
    assert 700 <= age_ms < 5_000
