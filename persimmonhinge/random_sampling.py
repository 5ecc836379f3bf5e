"""Draws of lots, for what a host needs before its first packet.

`random` draws in hashes and more, which a host does not need before that.
"""

from __future__ import annotations

import _random
from collections.abc import Sequence

from persimmonhinge.light_typing import TypeVar

T = TypeVar("T")

# Seeded by the system.
generator = _random.Random()


def choose(items: Sequence[T]) -> T:
    """Returns one of some things, of which there is at least one."""
    return items[int(generator.random() * len(items))]


def sample(items: Sequence[T], max_count: int) -> list[T]:
    """Returns some of the things, each at most once, in any order."""
    left = list(items)
    drawn: list[T] = []
    while left and len(drawn) < max_count:
        drawn.append(left.pop(int(generator.random() * len(left))))
    return drawn
