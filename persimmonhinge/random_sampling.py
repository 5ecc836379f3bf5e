"""Random selection for code that runs before a host's first packet.

`random` imports `hashlib` and other modules that a host does not need that
early, so this module uses `_random` instead.
"""

from __future__ import annotations

import _random
from collections.abc import Sequence

from persimmonhinge.light_typing import TypeVar

T = TypeVar("T")

# Seeded by the operating system.
generator = _random.Random()


def choose(items: Sequence[T]) -> T:
    """Returns a random item of a sequence that is not empty."""
    return items[int(generator.random() * len(items))]


def sample(items: Sequence[T], max_count: int) -> list[T]:
    """Returns up to `max_count` random items, each at most once."""
    remaining = list(items)
    drawn: list[T] = []
    while remaining and len(drawn) < max_count:
        drawn.append(remaining.pop(int(generator.random() * len(remaining))))
    return drawn
