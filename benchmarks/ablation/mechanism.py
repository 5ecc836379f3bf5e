"""How a variant takes a mechanism out of a host.

The product has no switches for this: each would be a setting that nobody is
to use. So a variant reaches into the parts of a host that was just made.
"""

from __future__ import annotations

from typing import Any

from persimmonhinge import records
from persimmonhinge.policies import choice


def read(part: object, name: str) -> Any:
    """Returns a member of a part of a host."""
    return getattr(part, name)


def replace(part: object, name: str, value: object) -> None:
    """Replaces a member of one part of a host.

    Raises:
        AttributeError: The part has no such member, so the variant would be
            the whole product.
    """
    getattr(part, name)
    setattr(part, name, value)


def change(candidate: choice.Candidate, **fields: object) -> choice.Candidate:
    """Returns a candidate with some fields changed."""
    return records.replace(candidate, **fields)


def call(work: Any, *arguments: object) -> None:
    """Does work whose arguments a variant passes on."""
    work(*arguments)


def do_nothing(*_: object) -> None:
    """Stands in for a method that records something."""


def say_no(*_: object) -> bool:
    """Stands in for a question."""
    return False


def say_yes(*_: object) -> bool:
    """Stands in for a question."""
    return True


def find_nothing(*_: object) -> None:
    """Stands in for a search."""
