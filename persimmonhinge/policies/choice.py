"""Policies that choose an upstream for one piece of work."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from persimmonhinge import ids
from persimmonhinge import registry


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could take the work, as this host sees it.

    Attributes:
        upstream: The upstream.
        capacity: Slots or connections, times the trust in the upstream.
        load: Work that it has, as last reported by its keeper and corrected
            by what this host began and ended since.
        own: The part of the load that this host gave it.
    """

    upstream: ids.UpstreamId
    capacity: float
    load: float
    own: float

    @property
    def relative_load(self) -> float:
        """Load for each unit of capacity, the new work included."""
        return (self.load + 1) / self.capacity


class ChoicePolicy(Protocol):
    """Chooses one of several candidates."""

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates, of which there is at least one."""


class ChoicePolicyFactory(Protocol):
    """Makes a policy with its own state and its own random numbers."""

    def __call__(self, randomness: random.Random) -> ChoicePolicy:
        """Returns a new policy."""


choices: registry.Registry[ChoicePolicyFactory] = registry.Registry(
    "choice policy"
)


@choices.register("random")
class RandomChoice:
    """Takes any candidate, blind to load: the plain baseline."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates."""
        return self._random.choice(candidates)


@choices.register("round-robin")
class RoundRobinChoice:
    """Takes candidates in turn, blind to load."""

    def __init__(self, randomness: random.Random) -> None:
        # Hosts that all began with the first would load it together.
        self._next = randomness.randrange(1_000_000)

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@choices.register("least-connections")
class LeastConnectionsChoice:
    """Takes what has least of this host's own work: one host's sight."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: ((c.own + 1) / c.capacity, self._random.random()),
        )


@choices.register("least-loaded")
class LeastLoadedChoice:
    """Takes the least load as the keepers report it, corrected for age."""

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates."""
        return min(
            candidates,
            key=lambda c: (c.relative_load, self._random.random()),
        )


@choices.register("power-of-two")
class PowerOfTwoChoice:
    """Takes the less loaded of two that are drawn by capacity.

    Hosts that share one old report do not all run to the same upstream, as
    they would if each took the least loaded.
    """

    def __init__(self, randomness: random.Random) -> None:
        self._random = randomness

    def choose(self, candidates: Sequence[Candidate]) -> Candidate:
        """Returns one of the candidates."""
        weights = [candidate.capacity for candidate in candidates]
        drawn = self._random.choices(candidates, weights, k=2)
        return min(drawn, key=lambda c: c.relative_load)
