"""The search of one feed for an upstream that takes it."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import source


@dataclasses.dataclass(slots=True, eq=False)
class Search:
    """What one task knows while it looks for an upstream.

    Attributes:
        preferred: Where the feed was before; tried first. A keeper that has
            lost the link to a home keeps the feed open for a while, and what
            came meanwhile is not lost.
        tried: Upstreams that are passed over in this round.
        once: True to give up after the first round, as for a rebalance.
        first: True while the caller has had no answer on this feed.
        unreachable: True if a keeper or upstream gave no answer in this
            round, so that another round may end otherwise.
        answer: What an upstream answered when it refused.
        retry_after_s: When refusing upstreams say to come back.
        delay_s: Wait before the next round.
        asked: The stream with a broken link whose keeper was asked last.
        patient_until: Until when its keeper is asked again, trio's time.
        permit: What was acquired for the attempt that runs.
    """

    preferred: port.Choice | None = None
    # Most searches try one upstream and stay in memory with their feed: an
    # empty set of its own would take 216 octets.
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
        """Lets all upstreams be tried again."""
        self.tried = frozenset()
        self.unreachable = False
        self.delay_s = min(self.delay_s * 2, limits.MAX_ROUND_DELAY_S)

    async def acquire_permit(self, permits: trio.Semaphore) -> None:
        """Waits for a permit to make an attempt."""
        await permits.acquire()
        self.permit = permits

    def release_permit(self) -> None:
        """Gives the permit back, if there is one."""
        if self.permit is not None:
            self.permit.release()
            self.permit = None
