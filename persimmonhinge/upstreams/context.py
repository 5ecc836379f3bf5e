"""Objects that all components of a keeper share."""

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
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import upstream_socket

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class KeeperContext:
    """Objects that all components of a keeper share.

    Attributes:
        contracts: The contracts of this host.
        counts: The metrics of this host.
        randomness: Source of random delays and of jitter in retry times.
        open_socket: Opens a socket to an upstream.
        timers: Retransmission timers.
        nursery: Runs tasks that outlive the call that started them.
        event_budget: Limits the memory of the events that feeds buffer.
    """

    contracts: store.ContractStore
    counts: counts_module.Counts
    randomness: random.Random
    open_socket: upstream_socket.SocketOpener
    timers: transmission.Transmission
    nursery: trio.Nursery
    event_budget: event_budget.EventBudget

    def start_soon(
        self, function: Callable[..., Awaitable[object]], *args: object
    ) -> None:
        """Starts a task that outlives the call that starts it.

        When the host stops, the keeper's nursery may close before the last
        calls have returned. Tasks that these calls would start are no
        longer needed and are not started.
        """
        try:
            self.nursery.start_soon(function, *args)
        except RuntimeError:
            logger.debug("Keeper has stopped; its new task was not started.")
