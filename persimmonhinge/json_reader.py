"""Reads JSON without a library, and fields of documents with their types."""

from __future__ import annotations

import _json

from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any
    from typing import TypeVar

    T = TypeVar("T")

_SPACE = " \t\r\n"
_INFINITY = float("inf")
# Control characters, which have no place in a name.
_CONTROLS = frozenset(map(chr, (*range(32), *range(127, 160))))
_DESCRIBED_CHARACTERS = 40


class FieldError(ValueError):
    """A field of a document is missing, or has a value that is not allowed.

    Attributes:
        field: Name of the field.
        reason: Why the value is refused.
    """

    def __init__(self, field: str, reason: str) -> None:
        super().__init__(f"{field} {reason}")
        self.field = field
        self.reason = reason


def _refuse_constant(text: str) -> object:
    raise ValueError(f"{text} is no JSON value")


class _Format:
    """What the scanner of the standard library is told of the format.

    `json` itself is not imported: it draws in regular expressions, which a
    host does not need before its first packet.
    """

    strict = True
    object_hook = None
    object_pairs_hook = None
    parse_float = float
    parse_int = int
    parse_constant = staticmethod(_refuse_constant)
    memo: dict[str, str] = {}  # noqa: RUF012


_scan = _json.make_scanner(_Format)  # type: ignore[arg-type]


def decode(octets: bytes) -> Any:
    """Reads a JSON document.

    Raises:
        ValueError: It is none.
    """
    text = octets.decode().strip(_SPACE)
    try:
        document, end = _scan(text, 0)
    except (StopIteration, RecursionError, SystemError):
        # The scanner has no error of its own until `json` is imported.
        return _read_with_library(text)
    if end != len(text):
        raise ValueError(f"more than a JSON document: {text[end:][:20]!r}")
    return document


def _read_with_library(text: str) -> Any:
    import json

    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError("a JSON document that is too deep") from error


def decode_object(octets: bytes) -> dict[str, Any]:
    """Reads a JSON object.

    Raises:
        ValueError: It is none.
    """
    return expect(decode(octets), dict, "document")


def expect(value: object, kind: type[T], name: str) -> T:
    """Returns a value if it is of a type; true and false are no numbers.

    Raises:
        FieldError: It is of another type.
    """
    if isinstance(value, kind) and (
        not isinstance(value, bool) or kind is bool
    ):
        return value
    raise FieldError(name, f"is {describe(value)}, not of type {kind.__name__}")


def describe(value: object) -> str:
    """Returns a value as a short printable text, for the reason of a refusal.

    The contents of lists and objects are left out: they may be long, and too
    deep for their text to be made.
    """
    if isinstance(value, (list, dict)):
        return f"of type {type(value).__name__}"
    if isinstance(value, str):
        value = value[:_DESCRIBED_CHARACTERS]
    return repr(value)[:_DESCRIBED_CHARACTERS]


def expect_number(value: object, name: str) -> float:
    """Returns a value if it is a finite number.

    Raises:
        FieldError: It is of another type, or beyond the range of floats.
    """
    if isinstance(value, int) and not isinstance(value, bool):
        try:
            return float(value)
        except OverflowError as error:
            raise FieldError(name, "is out of range") from error
    number = expect(value, float, name)
    if not -_INFINITY < number < _INFINITY:
        raise FieldError(name, f"is {number}, not a finite number")
    return number


def check_name(text: str, name: str, max_characters: int) -> str:
    """Returns a text that can be a name in logs, metrics and messages.

    Raises:
        FieldError: It is too long, or holds control characters or surrogates,
            which no encoder accepts.
    """
    if len(text) > max_characters:
        raise FieldError(name, f"has more than {max_characters} characters")
    if text.isprintable():
        return text
    if not _CONTROLS.isdisjoint(text):
        raise FieldError(name, "holds control characters")
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise FieldError(name, "holds surrogates") from error
    return text


def read_number(
    document: dict[str, Any],
    name: str,
    smallest: float,
    largest: float,
    default: float | None = None,
) -> float:
    """Returns a field of an object if it is a number in a range.

    Args:
        document: The object.
        name: Name of the field.
        smallest: The smallest number that is allowed.
        largest: The largest number that is allowed.
        default: What a field that is not there counts as; None if it must be
            there.

    Raises:
        FieldError: It is not there, of another type, or out of range.
    """
    if name not in document:
        if default is None:
            raise FieldError(name, "is missing")
        return default
    number = expect_number(document[name], name)
    if not smallest <= number <= largest:
        raise FieldError(name, f"is not from {smallest} to {largest}")
    return number


def read_integer(
    document: dict[str, Any],
    name: str,
    smallest: int,
    largest: int,
    default: int | None = None,
) -> int:
    """Returns a field of an object if it is a whole number in a range.

    Args:
        document: The object.
        name: Name of the field.
        smallest: The smallest number that is allowed.
        largest: The largest number that is allowed.
        default: What a field that is not there counts as; None if it must be
            there.

    Raises:
        FieldError: It is not there, of another type, or out of range.
    """
    number = read_field(document, name, int, default)
    if not smallest <= number <= largest:
        raise FieldError(name, f"is not from {smallest} to {largest}")
    return number


def read_field(
    document: dict[str, Any],
    name: str,
    kind: type[T],
    default: T | None = None,
) -> T:
    """Returns a field of an object.

    Args:
        document: The object.
        name: Name of the field.
        kind: Type of its value.
        default: What a field that is not there counts as; None if it must be
            there.

    Raises:
        FieldError: It is not there, or of another type.
    """
    value = document.get(name)
    if type(value) is kind:
        return value
    if name not in document:
        if default is None:
            raise FieldError(name, "is missing")
        return default
    return expect(value, kind, name)
