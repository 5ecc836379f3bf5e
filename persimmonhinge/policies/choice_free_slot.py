"""A candidate with a slot free, the one that had least of late."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("free-slot")
class FreeSlotChoice(choice.ChoicePolicy):
    """Takes what can run the work first, and asks its keeper for a slot.

    Guards against choice by reports that are older than a request runs for:
    requests wait at one upstream while another one idles. The keeper alone
    knows what is free, and says so at the cost of one message and only
    where there was none.

    Of those that can run it equally soon, the one that got least from this
    host of late is taken. So work is spread more evenly than by chance also
    where all are idle and no load tells them apart.
    """

    asks = True
    for_feeds = "least-loaded"

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
