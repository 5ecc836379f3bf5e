"""How a variant takes a mechanism out of a host.

The product has no switches for this: each would be a setting that nobody is
to use. So a variant reaches into the parts of a host that was just made.
"""

from __future__ import annotations

from typing import Any


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


def do_nothing(*_: object) -> None:
    """Stands in for a method that records something, or finds it."""


def say_no(*_: object) -> bool:
    """Stands in for a question."""
    return False


def say_yes(*_: object) -> bool:
    """Stands in for a question."""
    return True
