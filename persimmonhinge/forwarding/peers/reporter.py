"""Reports to other hosts, within a budget of octets."""

from __future__ import annotations

from collections.abc import Sequence
import random
import time

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import upstream_load as load_lines
from persimmonhinge.forwarding.decisions import report_lines
from persimmonhinge.forwarding.decisions import report_pace
from persimmonhinge.forwarding.peers import audience as audiences
from persimmonhinge.forwarding.peers import book as books
from persimmonhinge.forwarding.peers import channel as channels
from persimmonhinge.forwarding.peers import following as following_parts
from persimmonhinge.forwarding.peers import messages

# Reports to hosts of the own failure domain, and to those of others, within the
# 16 KB a second that a host may spend for control. Octets between domains are
# priced, and the work of upstreams elsewhere matters only where the own ones
# are full.
_NEAR_PACE = report_pace.ReportPace(min_interval_s=0.1, octets_per_s=8_000)
_FAR_PACE = report_pace.ReportPace(min_interval_s=0.5, octets_per_s=3_000)
# Least time between two looks for a host elsewhere to greet, seconds.
_LEAST_GREETING_CHECK_S = 0.1
# Upstreams in a report, those with most work and doubt first.
_MOST_LINES = 32
# Other hosts that a report names: of the failure domain of the host that gets
# it, since those are to find each other first, and of any.
_NAMED_OF_DOMAIN = 2
_NAMED_OF_ANY = 1


class Reporter:
    """Tells other hosts at intervals what this one sees."""

    def __init__(
        self, core: cores.ForwardCore, following: following_parts.Following
    ) -> None:
        """Makes the part of a process that has just started.

        Args:
            core: The parts of the host that need no event loop.
            following: Whether this host follows the store.
        """
        self._core = core
        self._following = following
        self._incarnation = random.getrandbits(63)
        self._sequence = 0
        self._state_came = auto_reset_event.AutoResetEvent()
        self._hosts_changed = auto_reset_event.AutoResetEvent()
        core.knowledge.on_state_change = self._state_came.set
        core.peers.listen(self._hosts_changed.set)
        self._far = audiences.FarAudience(
            core.peers, ids.DomainId(core.settings.domain)
        )

    async def tell_near(self, channel: channels.PeerChannel) -> None:
        """Tells hosts of the own failure domain until cancelled."""
        domain = self._core.settings.domain
        while True:
            near = self._core.peers.list_near(domain)
            report = self._make_report(self._list_lines(), domain)
            interval_s = _NEAR_PACE.compute_interval(
                _count_octets(report), len(near)
            )
            await channel.send_all(_encode(report, interval_s), near)
            await self.wait_near(interval_s)

    async def wait_near(self, time_s: float) -> None:
        """Waits until the next report, or until a long state is in force.

        Guards against hosts that all ask the one that heard of it first: those
        that have it since would be unknown until their next report, which
        comes the later the more hosts there are.
        """
        core = self._core
        known = core.knowledge.state
        ends_at = trio.current_time() + time_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await self._state_came.wait(ends_at - now)
            is_new = core.knowledge.state is not known
            if is_new and core.entries.has_long_state_since(0):
                return

    async def tell_far(self, channel: channels.PeerChannel) -> None:
        """Tells hosts of other failure domains until cancelled."""
        round_s = _FAR_PACE.min_interval_s
        while True:
            due = self._far.choose_due(time.monotonic(), round_s)
            lines = self._list_lines() if self._far.tells_loads(due) else []
            report = self._make_report(lines, None)
            octets = _count_octets(report)
            round_s = _FAR_PACE.compute_interval(octets, len(due))
            await self._tell_due(channel, due, lines, round_s)
            budgeted_s = _FAR_PACE.compute_budget_interval(octets, len(due))
            await trio.sleep(budgeted_s)
            await self._wait_far(round_s - budgeted_s)

    async def _wait_far(self, time_s: float) -> None:
        """Waits until the next round, or until there is a host to greet.

        Guards against a host that begins to follow the store since it heard
        nobody at its start: it asked others that told it only at their next
        round.
        """
        ends_at = trio.current_time() + time_s * random.uniform(0.9, 1.1)
        while (now := trio.current_time()) < ends_at:
            await trio.sleep_until(min(ends_at, now + _LEAST_GREETING_CHECK_S))
            stranger_s = self._far.find_stranger_due() - time.monotonic()
            if stranger_s <= 0:
                return
            rest_s = ends_at - trio.current_time()
            await self._hosts_changed.wait(min(rest_s, stranger_s))

    async def _tell_due(
        self,
        channel: channels.PeerChannel,
        due: Sequence[books.Peer],
        lines: Sequence[load_lines.UpstreamLoad],
        round_s: float,
    ) -> None:
        """Tells each host in turn, with names of hosts of its own domain."""
        interval_s = self._far.compute_interval(round_s)
        for peer in due:
            self._far.record_told(peer, interval_s, time.monotonic())
            report = self._make_report(lines, peer.domain)
            octets = _encode(report, interval_s)
            await channel.send_all(octets, [peer.address])

    def _list_lines(self) -> list[load_lines.UpstreamLoad]:
        core = self._core
        lines = report_lines.list_report_lines(
            core.knowledge, core.loads, core.suspicions, time.monotonic()
        )
        lines.sort(
            key=lambda line: (line.missed_openings, line.average), reverse=True
        )
        return lines[:_MOST_LINES]

    def _make_report(
        self, lines: Sequence[load_lines.UpstreamLoad], domain: str | None
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
            leaving=self._following.leaving,
            reaches_store=self._following.reaches_store,
            loads=tuple(lines),
            peers=core.peers.pick_addresses(_NAMED_OF_DOMAIN, domain)
            + core.peers.pick_addresses(_NAMED_OF_ANY),
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
