"""Membership service: discovers other hosts and detects their failures."""

from __future__ import annotations

import dataclasses
import logging
import math
import random

import trio

from persimmonhinge import ids
from persimmonhinge import processor_times
from persimmonhinge.membership import codec
from persimmonhinge.membership import contacts
from persimmonhinge.membership import identity
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import messages
from persimmonhinge.membership import parts as parts_module
from persimmonhinge.membership import receiver as receiver_module
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import secret
from persimmonhinge.membership import udp
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.settings import entry

logger = logging.getLogger(__name__)

# Number of members to which this host itself sends its announcement that it
# leaves, rejoins or stops; the other members receive it by gossip.
_MAX_DIRECT_RECIPIENTS = 8
# Heartbeat intervals without a received datagram after which this host counts
# as isolated. In each interval, it probes one member and is probed by about
# one.
_ISOLATION_INTERVALS = 3


def _read_queued_s() -> float:
    times = processor_times.read()
    return math.nan if times is None else times.queued_s


def _no_hosts() -> tuple[entry.SeedHost, ...]:
    return ()


class Membership:
    """Maintains the view of this host by exchanging heartbeats with peers.

    The cost per host is bounded: each host probes one member per interval,
    updates are sent in the same datagrams, and states are compared by
    digests. Only the state itself grows with the number of hosts.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        view: view_module.View,
        counts: counts_module.Counts,
        platform_hosts: contacts.PlatformHosts = _no_hosts,
        *,
        datagrams: network.Datagrams | None = None,
        randomness: random.Random | None = None,
    ) -> None:
        """Creates the membership service; nothing is sent before `run`.

        Args:
            settings: Settings of this host.
            view: View that membership updates; initially holds this host.
            counts: Counters of this host.
            platform_hosts: Returns the hosts of the platform's list.
            datagrams: A bound port; None binds one according to the settings.
            randomness: Source of random choices; None creates one.

        Raises:
            SettingsError: The heartbeat secret cannot be read.
        """
        self._context = parts_module.HostContext(
            settings=settings,
            view=view,
            counts=counts,
            platform_hosts=platform_hosts,
            randomness=randomness or random.Random(),
        )
        self._datagrams = datagrams
        self._codec = codec.DatagramCodec(secret.read_secret(settings.peers))
        self._incarnation_hooks: list[identity.IncarnationHook] = []
        self._interval_s = settings.peers.heartbeat_interval_s
        self._started = trio.Event()
        self._parts: parts_module.Parts | None = None
        self._nursery: trio.Nursery | None = None
        counts.watch("members_alive", lambda: len(view.role_candidates()))
        counts.watch("members_known", lambda: len(tuple(view.all())))

    def add_incarnation_hook(self, hook: identity.IncarnationHook) -> None:
        """Registers a function for new incarnations of this host.

        The function is called with the member of the previous and of the new
        incarnation, before the view changes, and must not block. Hooks must
        be registered before `run`.
        """
        self._incarnation_hooks.append(hook)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until cancelled; reports the UDP port once it is bound.

        Raises:
            OSError: The heartbeat port is not available.
            NameTakenError: Another process started later under this name.
        """
        if self._datagrams is not None:
            await self._run_on_port(self._datagrams, task_status)
            return
        bound = await self._bind_port()
        try:
            await self._run_on_port(bound, task_status)
        finally:
            bound.close()

    async def leave(self) -> None:
        """Announces that this host will stop.

        Returns once the announcement has had time to reach all members.

        The host continues to answer heartbeats until `run` is cancelled. It
        then sends a farewell, so that peers do not have to detect that it
        stopped.
        """
        await self._announce_claim(record_module.Claim.LEAVING)

    async def rejoin(self) -> None:
        """Reverts `leave`."""
        await self._announce_claim(record_module.Claim.ALIVE)

    def probe_host(self, host: ids.HostId) -> None:
        """Probes a member at once, for example after its link broke."""
        if self._nursery is not None:
            self._nursery.start_soon(self._probe_and_suspect, host)

    async def _bind_port(self) -> udp.UdpDatagrams:
        view = self._context.view
        peers = self._context.settings.peers
        bound = await udp.bind(peers.own_address, peers.heartbeat_port)
        me = dataclasses.replace(view.self_member, heartbeat_port=bound.port)
        view.put(me)
        return bound

    async def _run_on_port(
        self, datagrams: network.Datagrams, task_status: trio.TaskStatus[int]
    ) -> None:
        async with trio.open_nursery() as nursery:
            parts = parts_module.make_parts(
                self._context, self._codec, datagrams, nursery
            )
            for hook in self._incarnation_hooks:
                parts.roster.identity.add_hook(hook)
            self._parts = parts
            self._nursery = nursery
            self._context.counts.watch(
                "membership_news_queued", lambda: len(parts.roster.gossip)
            )
            self._context.counts.watch(
                "process_longest_gap_seconds",
                lambda: parts.pauses.longest_gap_s,
            )
            self._context.counts.watch("process_queued_seconds", _read_queued_s)
            isolation = self._context.view.isolation
            isolation.max_silence_s = _ISOLATION_INTERVALS * self._interval_s
            receiver = receiver_module.Receiver(
                parts, isolation, self._context.counts, nursery
            )
            nursery.start_soon(receiver.run)
            nursery.start_soon(self._run_heartbeats, parts)
            nursery.start_soon(parts.refutations.run)
            self._started.set()
            task_status.started(self._context.view.self_member.heartbeat_port)
            try:
                await trio.sleep_forever()
            finally:
                self._nursery = None
                await self._send_farewell(parts)

    async def _run_heartbeats(self, parts: parts_module.Parts) -> None:
        while True:
            self._reset_after_long_pause(parts)
            host = parts.ring.next()
            if host is not None:
                self.probe_host(host)
            for contact in parts.contacts.select_due():
                await parts.probes.ping_address(contact.address, contact.host)
            await parts.exchange.start_exchange_if_due()
            parts.roster.forget_dead_members()
            await trio.sleep(self._interval_s)

    def _reset_after_long_pause(self, parts: parts_module.Parts) -> None:
        """Removes all members if this process was paused for too long.

        This prevents dead hosts from reappearing as alive: a process that was
        paused until its peers had forgotten a death would report the dead
        host to them as alive. Peers remember a death for twice the pause
        limit, so after a shorter pause they still report it to this host.
        """
        parts.pauses.check()
        forget_s = self._context.settings.peers.forget_s
        if parts.pauses.longest_pause_s > forget_s / 2:
            logger.warning("Process pause was too long; removing all members.")
            parts.roster.reset_membership()

    async def _probe_and_suspect(self, host: ids.HostId) -> None:
        parts = await self._get_parts()
        record = parts.roster.get(host)
        if record is None:
            return
        if not await parts.probes.probe(host):
            parts.roster.suspect(host, record.full_version)
            parts.suspicions.start_suspicion(host)
            # Carries the suspicion, so that the host can refute it as soon as
            # it runs or can be reached again.
            await parts.probes.ping_address(record.heartbeat_address, host)

    async def _get_parts(self) -> parts_module.Parts:
        await self._started.wait()
        assert self._parts is not None
        return self._parts

    async def _announce_claim(self, claim: record_module.Claim) -> None:
        parts = await self._get_parts()
        if parts.roster.identity.record.claim is claim:
            return
        parts.roster.set_own_claim(claim)
        recipients = self._sample_recipients(parts)
        async with trio.open_nursery() as nursery:
            for member in recipients:
                nursery.start_soon(parts.probes.probe, member.host)
        live_count = len(parts.roster.live_members())
        if live_count > len(recipients):
            rounds = math.ceil(math.log2(live_count))
            await trio.sleep(rounds * self._interval_s)

    async def _send_farewell(self, parts: parts_module.Parts) -> None:
        if (
            parts.roster.identity.record.claim
            is not record_module.Claim.LEAVING
        ):
            return
        parts.roster.set_own_claim(record_module.Claim.DEAD)
        with trio.CancelScope(shield=True):
            for member in self._sample_recipients(parts):
                address = (member.address, member.heartbeat_port)
                await parts.channel.send(messages.Farewell(), address)

    def _sample_recipients(
        self, parts: parts_module.Parts
    ) -> list[member_module.Member]:
        return parts.roster.sample_members(
            _MAX_DIRECT_RECIPIENTS, self._context.randomness
        )
