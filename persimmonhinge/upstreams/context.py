"""What all parts of a keeper share."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import logging
import random

import trio

from persimmonhinge.coap import transmission
from persimmonhinge.contracts import store
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.upstreams import arrival
from persimmonhinge.upstreams import event_budget

logger = logging.getLogger(__name__)


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
        event_budget: Bounds the events that feeds hold.
    """

    contracts: store.ContractStore
    counts: counts_module.Counts
    randomness: random.Random
    open_socket: arrival.SocketOpener
    timers: transmission.Transmission
    nursery: trio.Nursery
    event_budget: event_budget.EventBudget

    def start_soon(
        self, function: Callable[..., Awaitable[object]], *args: object
    ) -> None:
        """Starts a task that outlives the call which starts it.

        When the host stops, the keeper's nursery may close before the last
        calls have ended. What they would still start is of no use then.
        """
        try:
            self.nursery.start_soon(function, *args)
        except RuntimeError:
            logger.debug("Task was not started: the keeper has stopped.")
