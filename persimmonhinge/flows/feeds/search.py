"""State of the search for an upstream that accepts a feed."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import source


@dataclasses.dataclass(slots=True, eq=False)
class Search:
    """State of one task's search for an upstream.

    Attributes:
        preferred: Upstream and keeper that served the feed before; tried
            first. A keeper that loses the link to a home keeps the feed open
            for a while and buffers its events.
        tried: Upstreams that are excluded in this round.
        single_round: True to stop after the first round, as for a rebalance.
        awaits_first_answer: True if the caller has received no answer on this
            feed yet.
        unreachable: True if a keeper or upstream sent no answer in this
            round, so that another round may succeed.
        answer: Encoded answer of an upstream that refused the feed.
        retry_after_s: Longest retry delay that a refusing upstream requested,
            in seconds.
        delay_s: Delay before the next round, in seconds.
        last_queried: Stream with a broken link whose keeper was last tried
            again.
        retry_keeper_until: Time until which that keeper is retried, by trio's
            clock; 0 if no keeper has declared this host dead.
        permit: Semaphore acquired for the attempt in progress.
    """

    preferred: port.Choice | None = None
    # Most searches try one upstream and stay in memory as long as their feed.
    # A separate empty `set` would take 216 octets.
    tried: frozenset[ids.UpstreamId] = frozenset()
    single_round: bool = False
    awaits_first_answer: bool = False
    unreachable: bool = False
    answer: bytes = b""
    retry_after_s: int = 0
    delay_s: float = limits.MIN_ROUND_DELAY_S
    last_queried: source.Source | None = None
    retry_keeper_until: float = 0.0
    permit: trio.Semaphore | None = None

    def start_round(self) -> None:
        """Starts a round in which all upstreams are tried again."""
        self.tried = frozenset()
        self.unreachable = False
        self.delay_s = min(self.delay_s * 2, limits.MAX_ROUND_DELAY_S)

    async def acquire_permit(self, permits: trio.Semaphore) -> None:
        """Waits for a permit to start an attempt."""
        await permits.acquire()
        self.permit = permits

    def release_permit(self) -> None:
        """Releases the permit if one was acquired."""
        if self.permit is not None:
            self.permit.release()
            self.permit = None
