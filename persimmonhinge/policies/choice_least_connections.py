"""Policy that chooses the upstream with the least work of this host."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.policies import choice


@choice.choice_policies.register("least-connections")
class LeastConnectionsChoice(choice.ChoicePolicy):
    """Chooses by this host's own load alone, relative to capacity.

    Work that other hosts send is ignored.
    """

    def choose(
        self, candidates: Sequence[choice.Candidate]
    ) -> choice.Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: (
                (c.own_load + 1) / c.capacity,
                self._random.random(),
            ),
        )
