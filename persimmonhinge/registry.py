"""Registries that map names to implementations."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge.light_typing import Generic
from persimmonhinge.light_typing import TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """Maps names to the implementations of one kind.

    Attributes:
        kind: Description of an entry, used in error messages.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._entries: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers its argument under a name.

        Raises:
            ValueError: The name is already registered.
        """

        def add_entry(entry: T) -> T:
            if name in self._entries:
                raise ValueError(f"{self.kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return add_entry

    def get(self, name: str) -> T:
        """Returns the entry that is registered under a name.

        Raises:
            KeyError: No entry has this name. The message lists the names
                that are registered.
        """
        if name not in self._entries:
            known = ", ".join(self.names())
            raise KeyError(f"no {self.kind} {name!r}; known: {known}")
        return self._entries[name]

    def names(self) -> list[str]:
        """Returns all registered names in alphabetical order."""
        return sorted(self._entries)
