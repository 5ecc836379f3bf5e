"""The least loaded candidate, rather in the host's own failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice

# How much fuller, as a share of its slots, a candidate of the own failure
# domain may be than one elsewhere and still be preferred.
_FAR_PENALTY = 0.8
_NOW = 0.5


@choice.choices.register("near-first")
class NearFirstChoice(choice.ChoicePolicy):
    """Leaves the failure domain only where it is clearly fuller.

    A flow that stays within its domain is whole while domains are cut off
    from each other.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(candidates, key=lambda c: (_rate(c), self._random.random()))


def _rate(candidate: choice.Candidate) -> float:
    work = _NOW * candidate.load + (1 - _NOW) * candidate.recent
    penalty = 0.0 if candidate.near else _FAR_PENALTY
    return work / candidate.capacity + penalty
