"""Membership: finds the other hosts and notices which of them are dead."""

from __future__ import annotations

import dataclasses
import logging
import math
import pathlib
import random
import time

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import channel as channels
from persimmonhinge.membership import codec as codecs
from persimmonhinge.membership import contacts as contact_lists
from persimmonhinge.membership import doubts as doubting
from persimmonhinge.membership import exchange as exchanges
from persimmonhinge.membership import gossip as gossips
from persimmonhinge.membership import identity as identities
from persimmonhinge.membership import messages
from persimmonhinge.membership import pauses as pause_watches
from persimmonhinge.membership import probes as probing
from persimmonhinge.membership import record as records
from persimmonhinge.membership import ring as rings
from persimmonhinge.membership import roster as rosters
from persimmonhinge.membership import table as tables
from persimmonhinge.membership import udp
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

_GOSSIP_OCTETS = 450
_EXCHANGE_INTERVAL_S = 5.0
# Gaps in running that are longer than so many intervals void all evidence.
_PAUSE_INTERVALS = 2
_SPREAD_TO = 8


def _no_hosts() -> tuple[settings_entry.SeedHost, ...]:
    return ()


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000


class Membership:
    """Keeps the view of this host by heartbeats with its peers.

    The cost for each host is bounded: it probes one member an interval, news
    ride on these datagrams, and state is compared by digests. Only the state
    itself grows with the number of hosts.
    """

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        counts: host_counts.Counts,
        platform_hosts: contact_lists.PlatformHosts = _no_hosts,
        *,
        datagrams: network.Datagrams | None = None,
        randomness: random.Random | None = None,
    ) -> None:
        """Makes the part; nothing is sent before `run`.

        Args:
            settings: Settings of this host.
            view: Where the members are shown; holds this host.
            counts: Counters of this host.
            platform_hosts: Returns the hosts of the platform's list.
            datagrams: A bound port; None binds one by the settings.
            randomness: Source of choices; None for one of its own.
        """
        self._settings = settings
        self._view = view
        self._counts = counts
        self._platform_hosts = platform_hosts
        self._datagrams = datagrams
        self._randomness = randomness or random.Random()
        self._codec = codecs.DatagramCodec(read_secret(settings.peers))
        self._hooks: list[identities.IncarnationHook] = []
        self._interval_s = settings.peers.heartbeat_interval_s

    def on_new_incarnation(self, hook: identities.IncarnationHook) -> None:
        """Has a function called when this host becomes a new incarnation.

        It is called before the view announces the change, with the former
        and the new self, and must not wait.
        """
        self._hooks.append(hook)

    async def run(
        self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Runs until cancelled; reports the UDP port once it is bound.

        Raises:
            OSError: The port can't be had.
            NameTakenError: Another process started later under this name.
        """
        datagrams = self._datagrams
        bound = None
        if datagrams is None:
            bound = await self._bind()
            datagrams = bound
        try:
            async with trio.open_nursery() as nursery:
                self._make_parts(datagrams, nursery)
                nursery.start_soon(self._receive, nursery)
                nursery.start_soon(self._beat, nursery)
                task_status.started(self._view.self_member.heartbeat_port)
        finally:
            await self._say_farewell()
            if bound is not None:
                bound.close()

    async def leave(self) -> None:
        """Tells the peers that this host stops; returns once it has spread.

        The host goes on answering heartbeats until `run` is cancelled.
        """
        await self._say(records.Claim.LEAVING)

    async def rejoin(self) -> None:
        """Takes `leave` back."""
        await self._say(records.Claim.ALIVE)

    async def _bind(self) -> udp.UdpDatagrams:
        peers = self._settings.peers
        bound = await udp.bind(peers.address, peers.heartbeat_port)
        me = self._view.self_member
        self._view.put(dataclasses.replace(me, heartbeat_port=bound.port))
        return bound

    def _make_parts(
        self, datagrams: network.Datagrams, nursery: trio.Nursery
    ) -> None:
        now = trio.current_time
        peers = self._settings.peers
        randomness = self._randomness
        self._pauses = pause_watches.PauseWatch(
            _PAUSE_INTERVALS * self._interval_s, now
        )
        identity = identities.Identity(
            self._view.self_member,
            self._pauses,
            peers.suspicion_s,
            _read_wall_ms,
        )
        for hook in self._hooks:
            identity.add_hook(hook)
        table = tables.Table(peers.forget_s, now)
        measure = self._codec.measure
        self._roster = rosters.Roster(
            self._view,
            identity,
            table,
            gossips.Gossip(table, measure, _GOSSIP_OCTETS),
            self._counts,
            self._take_news,
        )
        self._channel = channels.Channel(
            datagrams, self._codec, self._roster, self._counts
        )
        self._probes = probing.Probes(
            self._interval_s,
            self._channel,
            self._roster,
            self._pauses,
            randomness,
        )
        self._doubts = doubting.Doubts(
            peers.suspicion_s,
            self._interval_s,
            self._roster,
            self._probes,
            self._pauses,
            nursery,
        )
        self._exchange = exchanges.Exchange(
            2 * self._interval_s,
            _EXCHANGE_INTERVAL_S,
            self._channel,
            self._roster,
            measure,
            randomness,
        )
        self._ring = rings.ProbeRing(self._roster, randomness)
        self._contacts = contact_lists.Contacts(
            self._settings,
            self._roster,
            self._platform_hosts,
            now,
            randomness,
        )

    def _take_news(self, host: ids.HostId, appeared: bool) -> None:
        self._doubts.take_news(host)
        if appeared:
            self._ring.add(host)

    async def _beat(self, nursery: trio.Nursery) -> None:
        while True:
            self._check_pause()
            host = self._ring.next()
            if host is not None:
                nursery.start_soon(self._probe, host)
            for contact in self._contacts.take_due():
                await self._probes.greet(contact.address, contact.host)
            await self._exchange.begin_if_due()
            self._roster.forget()
            await trio.sleep(self._interval_s)

    def _check_pause(self) -> None:
        """Drops what this host knew if it was away for too long.

        Guards against reviving the dead: a process that was paused until
        its peers have forgotten a death would tell them of a living host.
        """
        self._pauses.check()
        if self._pauses.longest_s > self._settings.peers.forget_s / 2:
            logger.warning("Paused for too long; starting anew.")
            self._roster.clear()
            incarnation = self._roster.identity.record.incarnation
            self._roster.identity.take_incarnation(incarnation)
            self._roster.show_self()

    async def _probe(self, host: ids.HostId) -> None:
        record = self._roster.get(host)
        if record is None:
            return
        outcome = await self._probes.probe(host)
        if outcome is probing.ProbeOutcome.SILENT:
            self._roster.suspect(host, record.life)
            self._doubts.begin(host)

    async def _receive(self, nursery: trio.Nursery) -> None:
        async for letter, source in self._channel.receive():
            self._check_pause()
            appeared = self._roster.hear(letter.sender, first_hand=True)
            for rumor in letter.rumors:
                self._roster.hear(rumor)
            if appeared:
                await self._welcome(letter.sender)
            await self._handle(letter, source, nursery)

    async def _welcome(self, sender: records.Record) -> None:
        """Meets a host that is new here, or back: compares state at once."""
        self._contacts.hurry()
        member = self._view.get(sender.host)
        if member is not None:
            await self._exchange.begin(member)

    async def _handle(
        self,
        letter: codecs.Letter,
        source: tuple[str, int],
        nursery: trio.Nursery,
    ) -> None:
        message = letter.message
        if isinstance(message, messages.Ping):
            await self._channel.send(
                messages.Ack(message.sequence), source, about=letter.sender.host
            )
        elif isinstance(message, messages.Ack):
            if message.subject is not None:
                self._roster.hear(message.subject)
            self._probes.take_answer(message, letter.sender)
        elif isinstance(message, messages.PingRequest):
            self._roster.hear(message.target)
            nursery.start_soon(self._probes.relay, message, source)
        elif isinstance(message, messages.Digest):
            await self._exchange.answer(message, source)
        elif isinstance(message, messages.State):
            await self._exchange.take(message, source)
        elif message is None:
            self._counts.add("heartbeat_unknown_kinds_total")

    async def _say(self, claim: records.Claim) -> None:
        if self._roster.identity.record.claim is claim:
            return
        self._roster.say(claim)
        told = self._roster.pick(_SPREAD_TO, self._randomness)
        async with trio.open_nursery() as nursery:
            for member in told:
                nursery.start_soon(self._probes.probe, member.host)
        if len(self._roster.live()) > len(told):
            rounds = math.ceil(math.log2(len(self._roster.table)))
            await trio.sleep(rounds * self._interval_s)

    async def _say_farewell(self) -> None:
        """Spares the peers the time to find out that this host stopped."""
        if self._roster.identity.record.claim is not records.Claim.LEAVING:
            return
        self._roster.say(records.Claim.DEAD)
        with trio.CancelScope(shield=True):
            for member in self._roster.pick(_SPREAD_TO, self._randomness):
                address = (member.address, member.heartbeat_port)
                await self._channel.send(messages.Farewell(), address)


def read_secret(peers: settings_entry.PeerSettings) -> bytes | None:
    """Returns the secret of the heartbeats, None if they are open.

    Raises:
        SettingsError: The file can't be read or is empty.
    """
    path = peers.heartbeat_secret_file
    if path is None:
        return None
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(
            str(error), step="read heartbeat secret", peer=path
        ) from error
    if not secret:
        raise errors.SettingsError(
            "the file is empty", step="read heartbeat secret", peer=path
        )
    return secret
