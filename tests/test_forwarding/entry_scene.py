"""A forwarding host with real sockets and logs, for tests of store entries."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import itertools
import json
import logging
import math
import os
import socket
import time
from typing import Any

import trio

from persimmonhinge import ids
from persimmonhinge import logs
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import room_page
from persimmonhinge.forwarding import route
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding import upstream
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import service
from persimmonhinge.metrics import page
from persimmonhinge.metrics import render
from persimmonhinge.platform import adapter
from persimmonhinge.platform import header
from persimmonhinge.store import port as port_module
from tests.support import trios
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_peers_reporter as reporters

_READY = upstream.UpstreamState.READY
STATE_KEY = "op/config"
UPSTREAM_KEY = "servers/i-7f3a91c2"
ROUTE: dict[str, Any] = {
    "Name": "r-1",
    "Host": "198.18.0.1",
    "Prefix": f"/{scenes.PORT}/",
    "Kind": "idempotent",
    "TimeoutMs": 1000,
    "AimMs": 250,
    "Priority": 1,
    "Service": "floor",
}
SERVICE: dict[str, Any] = {"Name": "floor", "ColdPerS": 4.0, "MaxConns": 2000}
STATE: dict[str, Any] = {
    "Version": 7,
    "Routes": [ROUTE, {**ROUTE, "Name": "r-2", "Prefix": "/8443/"}],
    "Services": [SERVICE, {"Name": "intake", "MaxConns": 5}],
    "Limits": {"IdleTimeoutMs": 12000},
}
UPSTREAM: dict[str, Any] = {
    "Service": "floor",
    "Addr": "127.0.0.1:9",
    "Zone": "north",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 4,
    "born": 1_791_174_346_251,
}
_SETTINGS = {
    "host": "h-1",
    "domain": "north",
    "packets": "127.0.0.1:1",
    "pages": "127.0.0.1:2",
    "peer_ports": [7, 8],
    "store": {"address": "127.0.0.1:9"},
    "regions": {"north": "coast"},
    "overload_control": {
        "placement": "by-work",
        "admission": "by-priority",
        "upstream_quality": True,
    },
}


def encode(document: object) -> bytes:
    """Encodes JSON as other writers may: escaped, with infinite numbers."""
    return json.dumps(document).replace("Infinity", "1e999").encode()


class EntryHost:
    """A host that gets batches of changes from the store."""

    def __init__(self, bound: socket.socket) -> None:
        """Creates a host with a desired state and an upstream.

        Args:
            bound: Its packet socket.
        """
        self.core = core_module.ForwardCore(
            settings_module.parse(json.dumps(_SETTINGS).encode()),
            bound,
            adapter.PacketFormat(),
            adapter.EntryFormat(),
        )
        self.core.start_overload_control()
        self._revisions = itertools.count(1)
        self._callers = itertools.count(1000)
        core = self.core
        role = follower_role.FollowerRole(
            core.settings.host,
            core.settings.domain,
            core.peers,
            core.knowledge,
            core.settings.max_current_age_s,
            0.0,
        )
        self._service = service.PeerService(core, role)
        reporters.add_local_hosts(core, 1)
        self.put((STATE_KEY, encode(STATE)), (UPSTREAM_KEY, encode(UPSTREAM)))

    def put(self, *pairs: tuple[str, bytes | None]) -> None:
        """Applies a batch of entries and deletions."""
        self.core.entries.apply_batch(
            [
                port_module.WatchEvent(key, value, next(self._revisions))
                for key, value in pairs
            ]
        )
        self.core.entries.record_answer()

    def open_flows(self, count: int = 1) -> None:
        """Receives the first packets of new flows of each route."""
        state = self.core.knowledge.state
        assert state is not None
        handle = self.core.forwarder.handle_datagram
        for address in state.routes:
            for _ in range(count):
                caller = next(self._callers)
                handle(_make_packet(address, caller, scenes.SYN))
                for known in self.core.knowledge.directory.list_all():
                    token = known.token
                    handle(_make_packet(address, caller, scenes.ACK, token))

    def expire(self) -> None:
        """Ends all flows, and removes what belongs to ended upstreams."""
        core = self.core
        core.knowledge.end_missing_upstreams(time.monotonic())
        core.tracker.remove_expired(0.0)
        core.openings._remove_old_attempts(math.inf)
        core.openings._pending.clear()
        core.openings.get_next_due_at()
        core.counts.limit_series()
        self._service._reporter._list_loads()
        self._service._pending_updates.clear()

    async def show(self) -> None:
        """Sends reports and updates, and shows the pages and a snapshot."""
        core = self.core
        channel = reporters.RecordingChannel()
        reporter = self._service._reporter
        with trio.move_on_after(0.01):
            await reporter.send_local_reports(channel)
        with trio.move_on_after(0.01):
            await self._service.send_updates(channel)
        assert channel.octets
        snapshot = core.entries.make_snapshot(0, ())
        codec.SNAPSHOT_CODEC.encode(snapshot)
        server = page.PageServer("127.0.0.1", 0)
        shown = room_page.RoomPage(
            server, ids.HostId("h-1"), ids.DomainId("north"), core.overload
        )
        request = page.PageRequest(room_page.ROOM_PATH, {}, "")
        json.loads((await shown.show_room(request)).body)
        render.render(core.counts, "")[0].decode()

    def run(self) -> None:
        """Opens flows and shows everything that a host shows."""
        self.open_flows()
        self.core.handle_due_openings()
        self.core.forwarder.release_waiting_flows()
        trios.run_in_order(1, self.show)

    def has_upstream(self, name: str) -> bool:
        """Returns whether an upstream with the usual start is ready."""
        upstream_id = ids.UpstreamId(f"{name}@{UPSTREAM['born']}")
        found = self.core.knowledge.directory.get(upstream_id)
        return found is not None and found.state is _READY

    def list_failures(self) -> dict[Any, int]:
        """Returns the counters of inputs that failed after their decoder."""
        return {
            labels: count
            for (name, labels), count in self.core.counts.counters().items()
            if name == "input_failures_total"
        }


@contextlib.contextmanager
def run_host() -> Iterator[EntryHost]:
    """Runs a host that writes its log lines as the program does.

    Each line is encoded, as the clock gives the log an unlimited budget.
    """
    seconds = itertools.count()
    with (
        open(os.devnull, "wb") as file,
        socket.socket(type=socket.SOCK_DGRAM) as bound,
    ):
        bound.bind(("127.0.0.1", 0))
        bound.setblocking(False)
        handler = structured_logs.StructuredHandler(
            "h-1", file.fileno(), lambda: float(next(seconds))
        )
        logger = logging.getLogger("persimmonhinge")
        former = (logger.handlers, logger.propagate, logger.level)
        logs.install(handler, "INFO")
        try:
            yield EntryHost(bound)
        finally:
            logger.handlers, logger.propagate, logger.level = former


def _make_packet(
    address: route.RouteAddress, caller: int, flags: int, token: int = 0
) -> bytes:
    return header.HEAD.pack(
        token,
        1,
        0,
        flags,
        header.NO_PAD,
        0,
        0,
        address.port,
        scenes.CALLER,
        address.address,
        caller,
    )
