"""How an upstream is chosen: what the policies share."""

from __future__ import annotations

import abc
from collections.abc import Sequence
import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge import registry
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from typing import ClassVar


class Candidate(records.Record, frozen=True):
    """An upstream that could take the work, as this host sees it.

    Attributes:
        upstream: The upstream.
        capacity: Slots or connections, times the trust in the upstream.
        load: Work that it has, as last reported by its keeper and corrected
            by what this host began and ended since.
        own: The part of the load that this host gave it.
        recent: Work that this host gave it lately, ended or not.
        near: False if it is in another failure domain than this host.
    """

    upstream: ids.UpstreamId
    capacity: float
    load: float
    own_load: float
    recent_load: float = 0.0
    same_domain: bool = True

    @property
    def relative_load(self) -> float:
        """Load for each unit of capacity, the new work included."""
        return (self.load + 1) / self.capacity

    @property
    def slot_round(self) -> int:
        """In which turn of its slots the new work would run, from 1."""
        return math.ceil(self.relative_load)


class ChoicePolicy(abc.ABC):
    """Chooses one of several candidates.

    Attributes:
        asks: True to ask the chosen upstream's keeper for a slot that is
            free at once, and to choose again if there is none.
        for_feeds: Name of the policy that chooses for feeds; empty for the
            same. Feeds hold no slots, and last.
    """

    requires_free_slot: ClassVar[bool] = False
    feed_policy: ClassVar[str] = ""

    def __init__(self, randomness: random.Random) -> None:
        """Makes a policy with its own state.

        Args:
            randomness: Source of its random numbers.
        """
        self._random = randomness

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates, of which there is at least one."""


choice_policies: registry.Registry[type[ChoicePolicy]] = registry.Registry(
    "choice policy"
)
