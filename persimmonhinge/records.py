"""Records: classes whose annotations are their fields.

They stand in for a library of such classes in the modules that a host needs
before its first packet: `dataclasses` draws in `inspect`, and `msgspec` takes
half of that time.
What is read from the network or from settings is checked where it is read.
"""

from __future__ import annotations

from persimmonhinge.light_typing import dataclass_transform
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any
    from typing import TypeVar

    R = TypeVar("R", bound="Record")


@dataclass_transform()
class Record:
    """Base of records; fields with a default come last.

    Two records are equal if they are of one type and their fields are equal.
    `frozen=True` at a class tells type checkers that its fields never change,
    and lets its records be members of sets.
    """

    def __init_subclass__(cls, *, frozen: bool = False) -> None:
        """Takes the settings of a class of records."""
        if not frozen:
            cls.__hash__ = None  # type: ignore[assignment]

    def __init__(self, *values: Any, **named: Any) -> None:
        """Makes the first record of a class, and the class's constructor.

        Not at the class: most classes that a host imports at its start have
        no record before the first packet.
        """
        cls = type(self)
        make = _make_constructor(cls)
        # Type checkers know the constructor by `dataclass_transform`.
        cls.__init__ = make  # type: ignore[method-assign]
        make(self, *values, **named)

    def __eq__(self, other: object) -> bool:
        if type(self) is not type(other):
            return NotImplemented
        return vars(self) == vars(other)

    def __hash__(self) -> int:
        return hash(tuple(vars(self).values()))

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={v!r}" for name, v in vars(self).items())
        return f"{type(self).__name__}({fields})"


def _make_constructor(cls: type[Record]) -> Callable[..., None]:
    names = list(cls.__dict__.get("__annotations__", ()))
    arguments = [
        f"{name}=_cls.{name}" if name in cls.__dict__ else name
        for name in names
    ]
    lines = [f"def __init__(self, {', '.join(arguments)}):"]
    lines += [f" self.{name} = {name}" for name in names] or [" pass"]
    made: dict[str, Any] = {"_cls": cls}
    exec("\n".join(lines), made)
    constructor: Callable[..., None] = made["__init__"]
    return constructor


def replace(record: R, **changes: Any) -> R:
    """Returns a copy of a record with some fields changed."""
    return type(record)(**{**vars(record), **changes})
