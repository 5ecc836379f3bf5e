"""A host with all parts, which any messages reach."""

from __future__ import annotations

import functools
import socket
import time

import trio

from persimmonhinge import records
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import gauges
from persimmonhinge.forwarding import overload_settings
from persimmonhinge.forwarding.decisions.upstream_health import quality_counts
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import follower_role
from persimmonhinge.forwarding.peers import message_checks
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import reporter
from persimmonhinge.forwarding.peers import service
from persimmonhinge.metrics import render
from persimmonhinge.platform import adapter
from tests.support import trios
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_reporter as reporters

_ROUND_S = 1.0
_UPSTREAMS = 4
_DECODER: codec.MessageCodec[messages.Report] = codec.MessageCodec(
    messages.Report
)


class HostileScene:
    """A host with all parts, some upstreams and one route."""

    def __init__(self) -> None:
        plain = hosts.make_core(7721)
        plain.socket.socket.close()
        settings = records.replace(
            plain.settings,
            overload_control=overload_settings.OverloadSettings(
                "by-work", "by-priority", True
            ),
        )
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.core = core_module.ForwardCore(
            settings,
            self._socket,
            adapter.PacketFormat(),
            adapter.EntryFormat(),
        )
        self.core.start_overload_control()
        self.role = follower_role.FollowerRole(
            "h-1",
            "north",
            self.core.peers,
            self.core.knowledge,
            2.0,
            time.monotonic(),
        )
        self.service = service.PeerService(self.core, self.role)
        gauges.register_gauges(self.core, self.role)
        for number in range(1, _UPSTREAMS + 1):
            key = readers.make_key(str(number))
            self.core.entries.apply(key, readers.make_entry(), number)
        plain_scene = scenes.Scene()
        assert plain_scene.knowledge.state is not None
        self.core.knowledge.apply_state(plain_scene.knowledge.state, "test")

    def decide(self) -> None:
        """Makes each decision that uses what other hosts reported."""
        core, now = self.core, time.monotonic()
        overload = core.overload
        assert overload is not None and overload.quality is not None
        for port in range(3):
            core.forwarder.handle_datagram(
                scenes.make_packet(2000 + port, scenes.SYN)
            )
        for upstream in core.knowledge.directory.list_all():
            overload.quality._add(
                upstream.id, quality_counts.QualityCounts(answers=3), now
            )
        overload.quality._search_at.clear()
        overload.quality.list_held_back(scenes.SERVICE, now)
        overload.room.host_share(scenes.SERVICE, now)
        overload.room.is_contended(scenes.SERVICE, now)
        core.peers.find_ahead(0)
        core.peers.find_next_silent_at(now)
        self.role.should_follow(now)
        self.role.is_selected()
        render.render(core.counts, "")

    def run_reports(self) -> list[messages.Report]:
        """Sends reports for a second; returns them as other hosts read them.

        Raises:
            MalformedMessageError: Other hosts would refuse a report.
        """
        channel = reporters.RecordingChannel()
        trios.run_in_order(1, functools.partial(self._report, channel))
        sent = [_DECODER.decode(octets) for octets in channel.octets]
        for report in sent:
            _, error = message_checks.omit_unusable_items(report)
            if error is not None:
                raise error
        return sent

    async def _report(self, channel: reporters.RecordingChannel) -> None:
        sender = reporter.Reporter(self.core, self.role)
        with trio.move_on_after(_ROUND_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sender.send_local_reports, channel)
                nursery.start_soon(sender.send_remote_reports, channel)

    def check(self) -> None:
        """Checks that no input failed, and closes the host."""
        self._socket.close()
        assert self.core.counts.sum("input_failures_total") == 0
