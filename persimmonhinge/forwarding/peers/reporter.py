"""Sends reports to other hosts within a bandwidth budget."""

from __future__ import annotations

from collections.abc import Sequence
import random
import time

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.decisions.pace import report_pace
from persimmonhinge.forwarding.decisions.reports import report_lines
from persimmonhinge.forwarding.peers import channel as channel_module
from persimmonhinge.forwarding.peers import (
    follower_role as follower_role_module,
)
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import peer_table
from persimmonhinge.forwarding.peers import report_schedule

# Pace of the reports to hosts of the own failure domain, and to hosts of other
# domains, within the 16 KB per second that a host may spend on control data.
# Traffic between domains is priced, and the loads of upstreams in other domains
# matter only when the upstreams of the own domain are full.
_LOCAL_PACE = report_pace.ReportPace(min_interval_s=0.1, octets_per_s=8_000)
_REMOTE_PACE = report_pace.ReportPace(min_interval_s=0.5, octets_per_s=3_000)
# Minimum time between two checks for new hosts of other domains, seconds.
_MIN_NEW_HOST_CHECK_S = 0.1
# Maximum number of upstreams in a report. Those with the most unanswered
# opening packets come first, then those with the most troubled and slow
# requests, if hosts judge the quality of upstreams, then those with the most
# work.
_MAX_REPORTED_UPSTREAMS = 32
# Number of other hosts that a report names: hosts of the receiver's failure
# domain, since these have to find each other first, and hosts of any domain.
_NAMED_SAME_DOMAIN_HOSTS = 2
_NAMED_ANY_DOMAIN_HOSTS = 1


class Reporter:
    """Sends periodic reports of this host's state to other hosts."""

    def __init__(
        self,
        core: core_module.ForwardCore,
        follower_role: follower_role_module.FollowerRole,
    ) -> None:
        """Initializes the reporter of a process that has just started.

        Args:
            core: The components of the host that need no event loop.
            follower_role: Whether this host follows the store.
        """
        self._core = core
        self._follower_role = follower_role
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._state_changed = auto_reset_event.AutoResetEvent()
        self._hosts_changed = auto_reset_event.AutoResetEvent()
        core.knowledge.on_state_change = self._state_changed.set
        core.peers.add_listener(self._hosts_changed.set)
        self._remote_schedule = report_schedule.RemoteReportSchedule(
            core.peers, ids.DomainId(core.settings.domain)
        )

    async def send_local_reports(
        self, channel: channel_module.PeerChannel
    ) -> None:
        """Sends reports to the own failure domain until cancelled."""
        domain = self._core.settings.domain
        while True:
            local_hosts = self._core.peers.list_local(domain)
            report = self._make_report(self._list_loads(), domain)
            interval_s = _LOCAL_PACE.compute_interval(
                _count_octets(report), len(local_hosts)
            )
            await channel.send_all(_encode(report, interval_s), local_hosts)
            await self.wait_for_local_round(interval_s)

    async def wait_for_local_round(self, wait_s: float) -> None:
        """Waits until the next report, or until a long state was applied.

        A host that has received a long desired state reports it at once.
        Otherwise all hosts would ask the first host that had it, since the
        others would announce it only in their next report, and the interval
        between reports grows with the number of hosts.

        Args:
            wait_s: Mean time until the next report, seconds.
        """
        core = self._core
        former_state = core.knowledge.state
        ends_at = trio.current_time() + wait_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await self._state_changed.wait(ends_at - now)
            is_new = core.knowledge.state is not former_state
            if is_new and core.entries.has_long_state_since(0):
                return

    async def send_remote_reports(
        self, channel: channel_module.PeerChannel
    ) -> None:
        """Sends reports to other failure domains until cancelled."""
        round_s = _REMOTE_PACE.min_interval_s
        while True:
            due = self._remote_schedule.choose_due(time.monotonic(), round_s)
            upstream_loads = (
                self._list_loads()
                if self._remote_schedule.should_send_loads(due)
                else []
            )
            report = self._make_report(upstream_loads, None)
            octets = _count_octets(report)
            round_s = _REMOTE_PACE.compute_interval(octets, len(due))
            await self._send_due_reports(channel, due, upstream_loads, round_s)
            budgeted_s = _REMOTE_PACE.compute_budget_interval(octets, len(due))
            await trio.sleep(budgeted_s)
            await self._wait_for_remote_round(round_s - budgeted_s)

    async def _wait_for_remote_round(self, wait_s: float) -> None:
        """Waits until the next round, or until a new host is due for a report.

        A host that has just started would otherwise get reports only in the
        next round of the hosts it reported to, and would begin to follow the
        store because it had received none.

        Args:
            wait_s: Mean time until the next round, seconds.
        """
        ends_at = trio.current_time() + wait_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await trio.sleep_until(min(ends_at, now + _MIN_NEW_HOST_CHECK_S))
            new_host_due_s = (
                self._remote_schedule.find_new_host_due_at() - time.monotonic()
            )
            if new_host_due_s <= 0:
                return
            remaining_s = ends_at - trio.current_time()
            await self._hosts_changed.wait(min(remaining_s, new_host_due_s))

    async def _send_due_reports(
        self,
        channel: channel_module.PeerChannel,
        due: Sequence[peer_table.Peer],
        upstream_loads: Sequence[upstream_load.UpstreamLoad],
        round_s: float,
    ) -> None:
        """Sends each due host a report that names hosts of its own domain."""
        interval_s = self._remote_schedule.compute_interval(round_s)
        for peer in due:
            self._remote_schedule.record_sent(
                peer, interval_s, time.monotonic()
            )
            report = self._make_report(upstream_loads, peer.domain)
            octets = _encode(report, interval_s)
            await channel.send_all(octets, [peer.address])

    def _list_loads(self) -> list[upstream_load.UpstreamLoad]:
        core = self._core
        upstream_loads = report_lines.list_report_lines(
            core.knowledge,
            core.loads,
            core.suspicions,
            time.monotonic(),
            core.overload.quality if core.overload else None,
        )
        upstream_loads.sort(
            key=lambda load: (
                load.missed_openings,
                load.troubles,
                load.slowness,
                load.average,
                load.open_flows,
            ),
            reverse=True,
        )
        return upstream_loads[:_MAX_REPORTED_UPSTREAMS]

    def _make_report(
        self,
        upstream_loads: Sequence[upstream_load.UpstreamLoad],
        domain: str | None,
    ) -> messages.Report:
        """Returns a report for hosts of a failure domain.

        Args:
            upstream_loads: The loads of upstreams.
            domain: Failure domain of the receivers; None if it is unknown.
        """
        core = self._core
        self._sequence += 1
        return messages.Report(
            host=core.settings.host,
            incarnation=self._incarnation,
            sequence=self._sequence,
            interval_ms=0,
            domain=core.settings.domain,
            revision=min(core.entries.revision, message_limits.MAX_REVISION),
            age_ms=min(
                core.knowledge.compute_age_ms(time.monotonic()),
                message_limits.MAX_AGE_MS,
            ),
            leaving=self._follower_role.leaving,
            reaches_store=self._follower_role.reaches_store,
            loads=tuple(upstream_loads),
            peers=core.peers.sample_addresses(_NAMED_SAME_DOMAIN_HOSTS, domain)
            + core.peers.sample_addresses(_NAMED_ANY_DOMAIN_HOSTS),
            upstreams_revision=min(
                core.entries.completeness.upstreams_revision,
                message_limits.MAX_REVISION,
            ),
            demands=self._list_demands(),
        )

    def _list_demands(self) -> tuple[service_demand.ServiceDemand, ...]:
        overload = self._core.overload
        if overload is None:
            return ()
        return overload.list_demands(time.monotonic())


def _count_octets(report: messages.Report) -> int:
    return len(_encode(report, 0.0))


def _encode(report: messages.Report, interval_s: float) -> bytes:
    """Encodes a report with the time until the next one.

    Other hosts derive from that time when this host counts as silent. The
    report has to announce the interval that really follows, which may grow
    suddenly when many hosts were added; otherwise a live host would be
    considered silent.
    """
    interval_ms = min(int(interval_s * 1000), message_limits.MAX_INTERVAL_MS)
    lines = tuple(upstream_load.trim(load) for load in report.loads)
    return msgspec.msgpack.encode(
        msgspec.structs.replace(report, interval_ms=interval_ms, loads=lines)
    )
