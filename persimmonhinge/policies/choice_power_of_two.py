"""The less loaded of two candidates."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("power-of-two")
class PowerOfTwoChoice(choice.ChoicePolicy):
    """Takes the less loaded of two that are drawn by capacity.

    Hosts that share one old report do not all run to the same upstream, as
    they would if each took the least loaded.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        weights = [candidate.capacity for candidate in candidates]
        drawn = self._random.choices(candidates, weights, k=2)
        return min(drawn, key=lambda c: c.relative_load)
