"""Policy that chooses the upstream with the least load."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("least-loaded")
class LeastLoadedChoice(choice.ChoicePolicy):
    """Chooses the least load relative to capacity.

    The load comes from the keepers' reports, corrected for their age.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: (c.relative_load, self._random.random()),
        )
