"""Policy that prefers upstreams in the host's own failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice

# Share of its capacity by which an upstream in the own failure domain may be
# more loaded than one in another domain and still be preferred.
_OTHER_DOMAIN_PENALTY = 0.8
# Weight of the current load; the recent load has the remaining weight.
_CURRENT_LOAD_WEIGHT = 0.5


@choice.choice_policies.register("near-first")
class NearFirstChoice(choice.ChoicePolicy):
    """Prefers the own failure domain unless it is clearly more loaded.

    A flow that stays within its domain continues while the domains are
    partitioned from each other.
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
