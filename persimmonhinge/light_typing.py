"""Names for type checkers that cost nothing at run time.

The import of `typing` would take much of the processor time that a small host
spends until its first packet. Modules that a host needs before that take these
names from here:
type checkers see those of `typing`, the interpreter sees the least that
makes the same code run.
"""

from __future__ import annotations

TYPE_CHECKING = False

if TYPE_CHECKING:
    from typing import dataclass_transform as dataclass_transform
    from typing import Generic as Generic
    from typing import NamedTuple as NamedTuple
    from typing import NewType as NewType
    from typing import Protocol as Protocol
    from typing import TypeVar as TypeVar
else:
    import collections

    class _NamedTupleMaker(type):
        """Turns the annotations of a class into fields of a tuple."""

        def __new__(
            mcs, name: str, bases: tuple[type, ...], members: dict[str, object]
        ) -> type:
            if not bases:
                return super().__new__(mcs, name, bases, members)
            fields = tuple(members.get("__annotations__", ()))
            defaults = [members.pop(f) for f in fields if f in members]
            plain = collections.namedtuple(name, fields, defaults=defaults)
            return type(name, (plain,), {"__slots__": (), **members})

    class NamedTuple(metaclass=_NamedTupleMaker):
        """A tuple whose fields have names; see `typing.NamedTuple`."""

    class Generic:
        """A class with type parameters; see `typing.Generic`."""

        def __class_getitem__(cls, _: object) -> type:
            return cls

    class Protocol:
        """What several classes have in common; see `typing.Protocol`."""

    def NewType(_: str, base: type) -> type:  # noqa: N802
        """Returns the type that values have at run time."""
        return base

    def TypeVar(name: str) -> object:  # noqa: N802
        """Returns a placeholder for a type."""
        return name

    def dataclass_transform(**_: object) -> object:
        """Returns a decorator that changes nothing."""
        return lambda decorated: decorated
