"""Any candidate."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("random")
class RandomChoice(choice.ChoicePolicy):
    """Takes any candidate, blind to load: the plain baseline."""

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return self._random.choice(candidates)
