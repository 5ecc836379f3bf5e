"""Fields of entries."""

from __future__ import annotations

from persimmonhinge import json_reader
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any
    from typing import TypeVar

    T = TypeVar("T")


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
