"""Reports to other hosts, within a budget of octets."""

from __future__ import annotations

from collections.abc import Sequence
import random
import time

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import load_line
from persimmonhinge.forwarding import wake_up
from persimmonhinge.forwarding.decisions import report_pace
from persimmonhinge.forwarding.decisions import told_loads
from persimmonhinge.forwarding.peers import channel as channel_module
from persimmonhinge.forwarding.peers import (
    follower_role as follower_role_module,
)
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import peer_table
from persimmonhinge.forwarding.peers import report_schedule

# Reports to hosts of the own failure domain, and to those of others, within the
# 16 KB a second that a host may spend for control. Octets between domains are
# priced, and the work of upstreams elsewhere matters only where the own ones
# are full.
_LOCAL_PACE = report_pace.ReportPace(least_s=0.1, octets_per_s=8_000)
_REMOTE_PACE = report_pace.ReportPace(least_s=0.5, octets_per_s=3_000)
# Least time between two looks for a host elsewhere to greet, seconds.
_MIN_NEW_HOST_CHECK_S = 0.1
# Upstreams in a report, those with most work and doubt first.
_MAX_REPORTED_UPSTREAMS = 32
# Other hosts that a report names: of the failure domain of the host that gets
# it, since those are to find each other first, and of any.
_NAMED_SAME_DOMAIN_HOSTS = 2
_NAMED_ANY_DOMAIN_HOSTS = 1


class Reporter:
    """Tells other hosts at intervals what this one sees."""

    def __init__(
        self,
        core: core_module.ForwardCore,
        follower_role: follower_role_module.FollowerRole,
    ) -> None:
        """Makes the part of a process that has just started.

        Args:
            core: The parts of the host that need no event loop.
            following: Whether this host follows the store.
        """
        self._core = core
        self._follower_role = follower_role
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._state_changed = wake_up.WakeUp()
        self._hosts_changed = wake_up.WakeUp()
        core.knowledge.tell_state = self._state_changed.set
        core.peers.add_listener(self._hosts_changed.set)
        self._remote_schedule = report_schedule.RemoteReportSchedule(
            core.peers, ids.DomainId(core.settings.domain)
        )

    async def send_local_reports(
        self, channel: channel_module.PeerChannel
    ) -> None:
        """Tells hosts of the own failure domain until cancelled."""
        domain = self._core.settings.domain
        while True:
            near = self._core.peers.list_local(domain)
            report = self._make_report(self._list_loads(), domain)
            interval_s = _LOCAL_PACE.compute_interval(
                _count_octets(report), len(near)
            )
            await channel.send_all(_encode(report, interval_s), near)
            await self.wait_for_local_round(interval_s)

    async def wait_for_local_round(self, wait_s: float) -> None:
        """Waits until the next report, or until a long state is in force.

        Guards against hosts that all ask the one that heard of it first: those
        that have it since would be unknown until their next report, which
        comes the later the more hosts there are.
        """
        core = self._core
        known = core.knowledge.state
        ends_at = trio.current_time() + wait_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await self._state_changed.wait(ends_at - now)
            is_new = core.knowledge.state is not known
            if is_new and core.entries.has_long_state_since(0):
                return

    async def send_remote_reports(
        self, channel: channel_module.PeerChannel
    ) -> None:
        """Tells hosts of other failure domains until cancelled."""
        round_s = _REMOTE_PACE.least_s
        while True:
            due = self._remote_schedule.choose_due(time.monotonic(), round_s)
            lines = (
                self._list_loads()
                if self._remote_schedule.should_send_loads(due)
                else []
            )
            report = self._make_report(lines, None)
            octets = _count_octets(report)
            round_s = _REMOTE_PACE.compute_interval(octets, len(due))
            await self._send_due_reports(channel, due, lines, round_s)
            budgeted_s = _REMOTE_PACE.compute_budgeted(octets, len(due))
            await trio.sleep(budgeted_s)
            await self._wait_for_remote_round(round_s - budgeted_s)

    async def _wait_for_remote_round(self, wait_s: float) -> None:
        """Waits until the next round, or until there is a host to greet.

        Guards against a host that begins to follow the store since it heard
        nobody at its start: it asked others that told it only at their next
        round.
        """
        ends_at = trio.current_time() + wait_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await trio.sleep_until(min(ends_at, now + _MIN_NEW_HOST_CHECK_S))
            stranger_s = (
                self._remote_schedule.find_new_host_due_at() - time.monotonic()
            )
            if stranger_s <= 0:
                return
            rest_s = ends_at - trio.current_time()
            await self._hosts_changed.wait(min(rest_s, stranger_s))

    async def _send_due_reports(
        self,
        channel: channel_module.PeerChannel,
        due: Sequence[peer_table.Peer],
        lines: Sequence[load_line.LoadLine],
        round_s: float,
    ) -> None:
        """Tells each host in turn, with names of hosts of its own domain."""
        interval_s = self._remote_schedule.compute_interval(round_s)
        for peer in due:
            self._remote_schedule.record_sent(
                peer, interval_s, time.monotonic()
            )
            report = self._make_report(lines, peer.domain)
            octets = _encode(report, interval_s)
            await channel.send_all(octets, [peer.address])

    def _list_loads(self) -> list[load_line.LoadLine]:
        core = self._core
        lines = told_loads.list_lines(
            core.knowledge, core.loads, core.suspicions, time.monotonic()
        )
        lines.sort(key=lambda line: (line.missed, line.average), reverse=True)
        return lines[:_MAX_REPORTED_UPSTREAMS]

    def _make_report(
        self, lines: Sequence[load_line.LoadLine], domain: str | None
    ) -> messages.Report:
        """Returns a report for hosts of a failure domain, None if unknown."""
        core = self._core
        self._sequence += 1
        return messages.Report(
            host=core.settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            interval_ms=0,
            domain=core.settings.domain,
            revision=core.entries.revision,
            age_ms=core.knowledge.compute_age_ms(time.monotonic()),
            leaving=self._follower_role.leaving,
            reaches_store=self._follower_role.reaches_store,
            loads=tuple(lines),
            peers=core.peers.sample_addresses(_NAMED_SAME_DOMAIN_HOSTS, domain)
            + core.peers.sample_addresses(_NAMED_ANY_DOMAIN_HOSTS),
            upstreams_revision=core.entries.completeness.upstreams_revision,
        )


def _count_octets(report: messages.Report) -> int:
    return len(msgspec.msgpack.encode(report))


def _encode(report: messages.Report, interval_s: float) -> bytes:
    """Returns a report that names the time to the next one.

    Guards against a live host that is taken for silent: others give up on it by
    the time that it names, which may grow at once by the hosts it has heard of.
    """
    interval_ms = int(interval_s * 1000)
    return msgspec.msgpack.encode(
        msgspec.structs.replace(report, interval_ms=interval_ms)
    )
