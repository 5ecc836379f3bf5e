"""The parts of membership and how they are put together."""

from __future__ import annotations

import dataclasses
import random
import time

import trio

from persimmonhinge.membership import channel as channels
from persimmonhinge.membership import codec as codecs
from persimmonhinge.membership import contacts as contact_lists
from persimmonhinge.membership import doubts as doubting
from persimmonhinge.membership import exchange as exchanges
from persimmonhinge.membership import gossip as gossips
from persimmonhinge.membership import identity as identities
from persimmonhinge.membership import pauses as pause_watches
from persimmonhinge.membership import probes as probing
from persimmonhinge.membership import ring as rings
from persimmonhinge.membership import roster as rosters
from persimmonhinge.membership import table as tables
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network
from persimmonhinge.settings import entry as settings_entry

# Peers give a host up within one suspicion time after its pause, and tell it
# so in their next datagrams. A pause is remembered for so many of these times.
_PAUSE_SUSPICIONS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """What membership is given by the host that it runs in.

    Attributes:
        settings: Settings of this host.
        view: Where the members are shown; holds this host.
        counts: Counters of this host.
        platform_hosts: Returns the hosts of the platform's list.
        randomness: Source of choices.
    """

    settings: settings_entry.EntrySettings
    view: views.View
    counts: host_counts.Counts
    platform_hosts: contact_lists.PlatformHosts
    randomness: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """All parts of membership."""

    pauses: pause_watches.PauseWatch
    roster: rosters.Roster
    channel: channels.Channel
    probes: probing.Probes
    doubts: doubting.Doubts
    exchange: exchanges.Exchange
    ring: rings.ProbeRing
    contacts: contact_lists.Contacts


def make_parts(
    around: Surroundings,
    codec: codecs.DatagramCodec,
    datagrams: network.Datagrams,
    nursery: trio.Nursery,
) -> Parts:
    """Returns the parts of a host that starts.

    Args:
        around: What the host gives.
        codec: Writes and reads datagrams.
        datagrams: The bound port.
        nursery: Where tasks for single members run.
    """
    peers = around.settings.peers
    randomness = around.randomness
    pauses = pause_watches.PauseWatch(
        peers.heartbeat_interval_s,
        trio.current_time,
        _PAUSE_SUSPICIONS * peers.suspicion_s,
    )
    roster = _make_roster(around, codec, pauses)
    channel = channels.Channel(datagrams, codec, roster, around.counts)
    probes = probing.Probes(peers, channel, roster, randomness)
    return Parts(
        pauses=pauses,
        roster=roster,
        channel=channel,
        probes=probes,
        doubts=doubting.Doubts(peers, roster, probes, nursery),
        exchange=exchanges.Exchange(
            peers, channel, roster, codec.measure, randomness
        ),
        ring=rings.ProbeRing(roster, randomness),
        contacts=contact_lists.Contacts(
            around.settings, roster, around.platform_hosts, randomness
        ),
    )


def _make_roster(
    around: Surroundings,
    codec: codecs.DatagramCodec,
    pauses: pause_watches.PauseWatch,
) -> rosters.Roster:
    peers = around.settings.peers
    identity = identities.Identity(
        around.view.self_member, pauses, peers.suspicion_s, _read_wall_ms
    )
    table = tables.Table(peers.forget_s, trio.current_time)
    gossip = gossips.Gossip(table, codec.measure, trio.current_time)
    return rosters.Roster(around.view, identity, table, gossip, around.counts)


def _read_wall_ms() -> int:
    return time.time_ns() // 1_000_000
