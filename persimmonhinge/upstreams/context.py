"""What all parts of a keeper share."""

from __future__ import annotations

import dataclasses
import random

import trio

from persimmonhinge.contracts import store as stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.upstreams import arrival
from persimmonhinge.upstreams import transmission as transmissions


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperContext:
    """What all parts of a keeper share.

    Attributes:
        contracts: The contracts of this host.
        counts: Its counters.
        randomness: Draws waits and spreads returns.
        open_socket: Opens a socket towards an upstream.
        timers: Timers of retransmission.
        nursery: Runs what outlives a call.
    """

    contracts: stores.ContractStore
    counts: host_counts.Counts
    randomness: random.Random
    open_socket: arrival.SocketOpener
    timers: transmissions.Transmission
    nursery: trio.Nursery
