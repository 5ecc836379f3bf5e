"""What all messages share: array form and a registry of kinds."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import msgspec

VERSION = 1


class Message(msgspec.Struct, array_like=True, frozen=True):
    """A message between hosts.

    Fields travel as an array in the order of the class. A newer version may
    append fields with defaults: an older reader ignores them, and a newer
    reader fills what an older writer lacks.
    """


M = TypeVar("M", bound=type[Message])

_types_by_kind: dict[str, type[Message]] = {}
_kinds_by_type: dict[type[Message], str] = {}


def message_kind(kind: str) -> Callable[[M], M]:
    """Returns a decorator that gives a message class its kind on the wire.

    Raises:
        ValueError: The kind is taken.
    """

    def enter(message_type: M) -> M:
        if kind in _types_by_kind:
            raise ValueError(f"message kind {kind!r} is registered twice")
        _types_by_kind[kind] = message_type
        _kinds_by_type[message_type] = kind
        return message_type

    return enter


def get_kind(message: Message) -> str:
    """Returns the kind of a message on the wire."""
    return _kinds_by_type[type(message)]


def find_type(kind: str) -> type[Message] | None:
    """Returns the class of a kind, None for one of a newer version."""
    return _types_by_kind.get(kind)
