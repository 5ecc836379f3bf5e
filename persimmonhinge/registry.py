"""A registry of named behaviour, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge.light_typing import Generic
from persimmonhinge.light_typing import TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to behaviour of one kind.

    Attributes:
        kind: What the entries are, for error texts.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that enters its argument under a name.

        Raises:
            ValueError: The name is taken.
        """

        def add_entry(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add_entry

    def get(self, name: str) -> T:
        """Returns the entry of a name.

        Raises:
            KeyError: No entry has this name; the text lists those there are.
        """
        if name not in self._entries:
            known = ", ".join(self.names())
            raise KeyError(f"no {self.kind} {name!r}; known: {known}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns all names in order."""
        return sorted(self._entries)
