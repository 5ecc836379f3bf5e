"""Policy that prefers upstreams with a free slot."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("free-slot")
class FreeSlotChoice(choice.ChoicePolicy):
    """Chooses the upstream that can run the work first.

    A slot that is free now is then requested from the upstream's keeper.

    Load reports are older than most requests run for, so a choice by reports
    alone lets requests wait at one upstream while another is idle. Only the
    keeper has the current number of free slots. It refuses a request for
    which no slot is free, and that refusal costs one message.

    Among upstreams that can run the work equally soon, the one that received
    least work from this host recently is chosen. This spreads work more
    evenly than a random choice even if all upstreams are idle and their loads
    are equal.
    """

    requires_free_slot = True
    feed_policy = "least-loaded"

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: (
                c.slot_round,
                c.recent_load / c.capacity,
                c.relative_load,
                self._random.random(),
            ),
        )
