"""Policy that chooses the upstreams in rotation."""

from __future__ import annotations

from collections.abc import Sequence
import random

from persimmonhinge.policies import choice


@choice.choice_policies.register("round-robin")
class RoundRobinChoice(choice.ChoicePolicy):
    """Chooses the candidates in rotation and ignores load."""

    def __init__(self, randomness: random.Random) -> None:
        """See `ChoicePolicy`."""
        super().__init__(randomness)
        # Hosts that all started with the first upstream would load it together.
        self._next = randomness.randrange(1_000_000)

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        self._next += 1
        return candidates[self._next % len(candidates)]
