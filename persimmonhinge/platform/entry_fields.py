"""Fields of entries, with the ranges that the rest of the system relies on."""

from __future__ import annotations

from persimmonhinge import json_reader
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any
    from typing import TypeVar

    T = TypeVar("T")

# Length of the longest key of the store.
MAX_NAME_CHARACTERS = 200
# Largest number of slots, of flows or of a priority: 31 bits.
MAX_COUNT = (1 << 31) - 1
# Longest time, milliseconds: 32 bits, 50 days.
MAX_TIME_MS = (1 << 32) - 1
# Largest version and largest time since 1970 in milliseconds: 63 bits.
MAX_VERSION = (1 << 63) - 1
# Largest weight, and largest rate of requests per second.
MAX_RATE = 1e9


def read_name(
    entry: dict[str, Any], field: str, default: str | None = None
) -> str:
    """Returns the field of a name.

    Raises:
        FieldError: It is not there, or can't be a name.
    """
    text = json_reader.read_field(entry, field, str, default)
    return json_reader.check_name(text, field, MAX_NAME_CHARACTERS)


def read_own_name(entry: dict[str, Any], field: str) -> str:
    """Returns the field of a name that must not be empty.

    Raises:
        FieldError: It is not there, empty, or can't be a name.
    """
    text = read_name(entry, field)
    if not text:
        raise json_reader.FieldError(field, "is empty")
    return text


def parse_field(
    entry: dict[str, Any], field: str, parse: Callable[[str], T]
) -> T:
    """Returns what a text field holds.

    Args:
        entry: The entry.
        field: Name of the field.
        parse: Parses the text; raises `ValueError` if it can't.

    Raises:
        FieldError: It is not there, or can't be parsed.
    """
    text = json_reader.read_field(entry, field, str)
    try:
        return parse(text)
    except ValueError as error:
        described = json_reader.describe(text)
        raise json_reader.FieldError(field, f"{described} {error}") from error
