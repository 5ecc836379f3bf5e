"""Policy that chooses the upstream with the least expected time to answer."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("by-work")
class ByWorkChoice(choice.ChoicePolicy):
    """Chooses the upstream that would answer a new request first.

    `load` is the work of the requests in flight and of the new one,
    `recent_load` the work that open flows will bring over the next second, and
    `capacity` the number of slots times the speed, so the score is a time.
    Keepers count requests instead of work, so this policy is not one of the
    built-in policies that they may use.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: (_compute_time_s(c), self._random.random()),
        )


def _compute_time_s(candidate: choice.Candidate) -> float:
    return (candidate.load + candidate.recent_load) / candidate.capacity
