"""The least loaded candidate, rather in the host's own failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.policies import choice

if TYPE_CHECKING:
    import random

# How much fuller, as a share of its slots, a candidate of the own failure
# domain may be than one elsewhere and still be preferred.
_FAR_PENALTY = 1.5
# The own domain counts as full if its mean is above that of others by this
# share of slots; each further share takes so much off the penalty.
_FULL = 0.7
_RELIEF = 5.0
# Weight of the candidates of one flow in the average of that difference.
_WEIGHT = 1 / 8
_NOW = 0.5


@choice.choices.register("near-first")
class NearFirstChoice(choice.ChoicePolicy):
    """Leaves the failure domain only where the domain is full.

    A flow that stays within its domain is whole while domains are cut off
    from each other. Candidates that are full by chance are no reason to leave;
    as those of each flow are drawn, their means tell how full domains are.
    """

    def __init__(self, randomness: random.Random) -> None:
        """See `choice.ChoicePolicy`."""
        super().__init__(randomness)
        self._fuller = 0.0

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        near = [_rate(c) for c in candidates if c.near]
        far = [_rate(c) for c in candidates if not c.near]
        if near and far:
            self._learn(near, far)
        penalty = self._compute_penalty()

        def rank(candidate: choice.Candidate) -> tuple[float, float]:
            extra = 0.0 if candidate.near else penalty
            return _rate(candidate) + extra, self._random.random()

        return min(candidates, key=rank)

    def _learn(self, near: Sequence[float], far: Sequence[float]) -> None:
        """Learns how much fuller the own domain is than the others."""
        difference = sum(near) / len(near) - sum(far) / len(far)
        self._fuller += (difference - self._fuller) * _WEIGHT

    def _compute_penalty(self) -> float:
        excess = max(0.0, self._fuller - _FULL)
        return max(0.0, _FAR_PENALTY - _RELIEF * excess)


def _rate(candidate: choice.Candidate) -> float:
    """Returns the work of a candidate as a share of its slots."""
    work = _NOW * candidate.load + (1 - _NOW) * candidate.recent
    return work / candidate.capacity
