"""The least loaded candidate, rather in the host's own failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice

# How much fuller, as a share of its slots, a candidate of the own failure
# domain may be than one elsewhere and still be preferred.
_OTHER_DOMAIN_PENALTY = 0.8
_CURRENT_LOAD_WEIGHT = 0.5


@choice.choice_policies.register("near-first")
class NearFirstChoice(choice.ChoicePolicy):
    """Leaves the failure domain only where it is clearly fuller.

    A flow that stays within its domain is whole while domains are cut off
    from each other.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(
            candidates, key=lambda c: (_compute_score(c), self._random.random())
        )


def _compute_score(candidate: choice.Candidate) -> float:
    work = (
        _CURRENT_LOAD_WEIGHT * candidate.load
        + (1 - _CURRENT_LOAD_WEIGHT) * candidate.recent_load
    )
    penalty = 0.0 if candidate.same_domain else _OTHER_DOMAIN_PENALTY
    return work / candidate.capacity + penalty
