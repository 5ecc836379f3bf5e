"""Context that the components of feeds share."""

from __future__ import annotations

import dataclasses
import random

from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import table as table_module
from persimmonhinge.flows.feeds import timers
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.settings import entry


@dataclasses.dataclass(frozen=True, slots=True)
class FeedContext:
    """Components of the host that feeds use, and shared state of feeds.

    Attributes:
        settings: Settings of the host.
        view: View of the hosts.
        placement: Placement of homes and keepers.
        contracts: Store of the contracts in force.
        network: Network for calls to other hosts.
        answers: Sender of datagrams to callers.
        chooser: Chooser of upstreams.
        counts: Counters of the host.
        random: Source of randomness for jitter.
        table: Table of the feeds of this host.
        timers: Timers of feeds.
    """

    settings: entry.EntrySettings
    view: view_module.View
    placement: placement_module.Placement
    contracts: store.ContractStore
    network: network_module.PeerNetwork
    answers: port.CallerSender
    chooser: port.Chooser
    counts: counts_module.Counts
    random: random.Random
    table: table_module.FeedTable = dataclasses.field(
        default_factory=table_module.FeedTable
    )
    timers: timers.Timers = dataclasses.field(default_factory=timers.Timers)

    def find_home(self, flow: port.Flow) -> str:
        """Returns the host that should be home of a flow, empty if none."""
        ranked = self.placement.rank_homes(flow.service, flow.caller)
        return ranked[0].host if ranked else ""
