"""What the parts of feeds share."""

from __future__ import annotations

import dataclasses
import random

from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import table as tables
from persimmonhinge.flows.feeds import timers
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.settings import entry


@dataclasses.dataclass(frozen=True, slots=True)
class Surroundings:
    """The parts of the host around the feeds, and what feeds share.

    Attributes:
        settings: Settings of the host.
        view: The hosts.
        placement: Homes of flows.
        contracts: The contracts in force.
        network: Calls to other hosts.
        answers: Sends datagrams to callers.
        chooser: Chooses upstreams.
        counts: Counters.
        random: Jitter.
        table: The feeds.
        timers: Callbacks at a time.
    """

    settings: entry.EntrySettings
    view: views.View
    placement: placements.Placement
    contracts: store.ContractStore
    network: networks.PeerNetwork
    answers: port.CallerSender
    chooser: port.Chooser
    counts: host_counts.Counts
    random: random.Random
    table: tables.FeedTable = dataclasses.field(
        default_factory=tables.FeedTable
    )
    timers: timers.Timers = dataclasses.field(default_factory=timers.Timers)

    def find_home(self, flow: port.Flow) -> str:
        """Returns the host that is to be home of a flow, empty for none."""
        ranked = self.placement.rank_homes(flow.service, flow.caller)
        return ranked[0].host if ranked else ""
