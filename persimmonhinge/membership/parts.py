"""Creates and connects the components of membership."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from persimmonhinge.membership import channel as channel_module
from persimmonhinge.membership import codec as codec_module
from persimmonhinge.membership import contacts as contacts_module
from persimmonhinge.membership import exchange as exchange_module
from persimmonhinge.membership import gossip as gossip_module
from persimmonhinge.membership import identity as identity_module
from persimmonhinge.membership import pauses as pauses_module
from persimmonhinge.membership import probe_ring
from persimmonhinge.membership import probes as probes_module
from persimmonhinge.membership import refutations as refutations_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.membership import suspicions as suspicions_module
from persimmonhinge.membership import table as table_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network
from persimmonhinge.settings import entry

# How long a pause of this process is remembered, in suspicion timeouts. Peers
# declare a host dead within one suspicion timeout after its pause, and report
# this to the host in their next datagrams.
_PAUSE_RETENTION_SUSPICIONS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class HostContext:
    """The objects of the host that membership uses.

    Attributes:
        settings: Settings of this host.
        view: View that membership updates; initially holds this host.
        counts: Counters of this host.
        platform_hosts: Returns the hosts of the platform's list.
        randomness: Source of random choices.
    """

    settings: entry.EntrySettings
    view: view_module.View
    counts: counts_module.Counts
    platform_hosts: contacts_module.PlatformHosts
    randomness: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """All components of membership."""

    pauses: pauses_module.PauseDetector
    roster: roster_module.Roster
    channel: channel_module.Channel
    probes: probes_module.Probes
    refutations: refutations_module.Refutations
    suspicions: suspicions_module.Suspicions
    exchange: exchange_module.Exchange
    ring: probe_ring.ProbeRing
    contacts: contacts_module.Contacts


def make_parts(
    context: HostContext,
    codec: codec_module.DatagramCodec,
    datagrams: network.Datagrams,
    nursery: trio.Nursery,
) -> Parts:
    """Returns the membership components of a host that starts.

    Args:
        context: Objects of the host that membership uses.
        codec: Encodes and decodes datagrams.
        datagrams: The bound heartbeat port.
        nursery: Runs the tasks for individual members.
    """
    peers = context.settings.peers
    randomness = context.randomness
    pauses = pauses_module.PauseDetector(
        peers.heartbeat_interval_s,
        trio.current_time,
        _PAUSE_RETENTION_SUSPICIONS * peers.suspicion_s,
    )
    roster = _make_roster(context, codec, pauses)
    channel = channel_module.Channel(datagrams, codec, roster, context.counts)
    probes = probes_module.Probes(peers, channel, roster, randomness)
    return Parts(
        pauses=pauses,
        roster=roster,
        channel=channel,
        probes=probes,
        refutations=refutations_module.Refutations(
            peers.heartbeat_interval_s, roster, probes, randomness
        ),
        suspicions=suspicions_module.Suspicions(peers, roster, probes, nursery),
        exchange=exchange_module.Exchange(
            peers, channel, roster, codec.measure_record, randomness
        ),
        ring=probe_ring.ProbeRing(roster, randomness),
        contacts=contacts_module.Contacts(
            context.settings, roster, context.platform_hosts, randomness
        ),
    )


def _make_roster(
    context: HostContext,
    codec: codec_module.DatagramCodec,
    pauses: pauses_module.PauseDetector,
) -> roster_module.Roster:
    peers = context.settings.peers
    identity = identity_module.Identity(
        context.view.self_member, pauses, peers.suspicion_s, _read_wall_ms
    )
    table = table_module.Table(peers.forget_s, trio.current_time)
    gossip = gossip_module.Gossip(
        table, codec.measure_record, trio.current_time
    )
    return roster_module.Roster(
        context.view, identity, table, gossip, context.counts
    )


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000
