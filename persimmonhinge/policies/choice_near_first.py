"""The least loaded candidate of the host's own failure domain."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choices.register("near-first")
class NearFirstChoice(choice.ChoicePolicy):
    """Leaves the failure domain only where it has no candidate.

    A flow that stays within its domain is whole while domains are cut off
    from each other.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        near = [c for c in candidates if c.near] or candidates
        return min(near, key=lambda c: (c.relative_load, self._random.random()))
