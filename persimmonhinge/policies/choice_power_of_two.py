"""Policy that chooses the less loaded of two random upstreams."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("power-of-two")
class PowerOfTwoChoice(choice.ChoicePolicy):
    """Chooses the less loaded of two upstreams drawn in proportion to capacity.

    If each host chose the least loaded upstream, all hosts that share one old
    report would choose the same one.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        weights = [candidate.capacity for candidate in candidates]
        drawn = self._random.choices(candidates, weights, k=2)
        return min(drawn, key=lambda c: c.relative_load)
