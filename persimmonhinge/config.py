"""Reads settings files: YAML, checked, with errors that name the place."""

from __future__ import annotations

import pathlib
from typing import TypeVar

import pydantic
import yaml

from persimmonhinge import errors

T = TypeVar("T", bound=pydantic.BaseModel)


def load(path: pathlib.Path, model: type[T]) -> T:
    """Reads a YAML file into a settings model.

    Raises:
        SettingsError: The file can't be read, is not YAML, or holds a value
            that is not allowed; the text names file, key, value and what is
            allowed.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            str(error), step="read settings", peer=str(path)
        ) from error
    return parse(text, model, source=str(path))


def parse(text: str, model: type[T], *, source: str) -> T:
    """Reads YAML text into a settings model.

    Args:
        text: The YAML text.
        model: Model to check it by.
        source: Name of the file, for errors.

    Raises:
        SettingsError: See `load`.
    """
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise errors.SettingsError(
            f"is not YAML: {error}", step="read settings", peer=source
        ) from error
    try:
        return model.model_validate(document)
    except pydantic.ValidationError as error:
        raise errors.SettingsError(
            describe(error), step="check settings", peer=source
        ) from error


def describe(error: pydantic.ValidationError) -> str:
    """Returns a line for each fault: key, value and what is allowed."""
    lines = []
    for fault in error.errors(include_url=False):
        key = ".".join(str(part) for part in fault["loc"]) or "(whole file)"
        value = _shorten(repr(fault["input"]))
        lines.append(f"{key}: {value}: {fault['msg']}")
    return "; ".join(lines)


def _shorten(text: str, limit: int = 60) -> str:
    return text if len(text) <= limit else text[: limit - 3] + "..."
