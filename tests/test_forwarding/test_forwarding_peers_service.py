"""Tests of the handling of received reports."""

from __future__ import annotations

import socket
import time

from persimmonhinge.forwarding import core
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding import upstream
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import service
from persimmonhinge.platform import adapter
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers

PEER_ADDRESS = flow.Endpoint("10.0.0.2", 7720)


class ReceivingHost:
    """A host that receives reports without a network."""

    def __init__(self) -> None:
        settings = settings_module.parse(
            b"{host: h-1, domain: north, packets: '127.0.0.1:1',"
            b" pages: '127.0.0.1:2', peer_ports: [3, 18],"
            b" store: {address: '127.0.0.1:9'}}"
        )
        bound = socket.socket(type=socket.SOCK_DGRAM)
        bound.bind(("127.0.0.1", 0))
        self.core = core.ForwardCore(
            settings, bound, adapter.PacketFormat(), adapter.EntryFormat()
        )
        bound.close()
        role = follower_role.FollowerRole(
            "h-1",
            "north",
            self.core.peers,
            self.core.knowledge,
            settings.max_current_age_s,
            time.monotonic(),
        )
        self.service = service.PeerService(self.core, role)
        self._sequence = 0

    def receive_report(self, *, reaches_store: bool, age_ms: int = 0) -> None:
        """Handles a report of the peer."""
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
        self.service.handle_report(report, PEER_ADDRESS)


@trios.trio_test
async def test_outage_that_the_last_follower_saw_is_a_reason_to_doubt() -> None:
    """Guards against a new follower that breaks all feeds after an outage.

    The store refuses the host that follows it, and entries expire meanwhile.
    The next follower reads the store right after its return and finds no
    entries. It has not seen the outage itself, so it treats them as deleted.
    """
    host = ReceivingHost()
    key = readers.make_key("1")
    host.core.entries.apply(key, readers.make_entry(), 5)
    host.receive_report(reaches_store=True)
    host.receive_report(reaches_store=False)
    host.core.entries.apply(key, None, 6)
    (known,) = host.core.knowledge.directory.list_all()
    assert known.state is upstream.UpstreamState.MISSING


@trios.trio_test
async def test_confirmation_of_another_host_is_as_old_as_it_says() -> None:
    host = ReceivingHost()
    host.receive_report(reaches_store=True, age_ms=700)
    age_ms = host.core.knowledge.compute_age_ms(time.monotonic())
    assert 700 <= age_ms < 5_000
