"""Common parts of the policies that choose an upstream."""

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
    """An upstream that may receive new work, and its load as this host sees it.

    Loads are numbers of requests or feeds.

    Attributes:
        upstream: The upstream.
        capacity: Number of slots or connections, reduced for an upstream that
            fails, is slow or is warming up.
        load: Work in progress, as last reported by its keeper or by other
            hosts, and corrected for what this host started and ended since.
        own_load: The part of `load` that this host sent.
        recent_load: Work that the upstream recently received, whether it is
            still in progress or has ended.
        same_domain: Whether the upstream is in this host's failure domain.
    """

    upstream: ids.UpstreamId
    capacity: float
    load: float
    own_load: float
    recent_load: float = 0.0
    same_domain: bool = True

    @property
    def relative_load(self) -> float:
        """Load per unit of capacity, including the new work."""
        return (self.load + 1) / self.capacity

    @property
    def slot_round(self) -> int:
        """Round of work in which the new work would run, counted from 1.

        In each round, every slot serves one request. The round is 1 if a slot
        is free for the new work, 2 if the work has to wait until each slot has
        served one more request, and so on.
        """
        return math.ceil(self.relative_load)


class ChoicePolicy(abc.ABC):
    """Chooses one of several candidates.

    Attributes:
        requires_free_slot: Whether to request a slot that is free now from
            the chosen upstream's keeper, and to choose again if there is none.
        feed_policy: Name of the policy that chooses upstreams for feeds;
            empty if this policy does. Feeds hold no slots and are long-lived.
    """

    requires_free_slot: ClassVar[bool] = False
    feed_policy: ClassVar[str] = ""

    def __init__(self, randomness: random.Random) -> None:
        """Creates a policy with its own state.

        Args:
            randomness: Source of random numbers.
        """
        self._random = randomness

    @abc.abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates, which must not be empty."""


choice_policies: registry.Registry[type[ChoicePolicy]] = registry.Registry(
    "choice policy"
)
