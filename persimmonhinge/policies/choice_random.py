"""Policy that chooses a random upstream."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("random")
class RandomChoice(choice.ChoicePolicy):
    """Chooses at random and ignores load; a baseline for other policies."""

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return self._random.choice(candidates)
