"""What the page of settings has to say, worked out from the models."""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import enum
import inspect
import typing
from typing import Any

import annotated_types
import pydantic
from pydantic import fields

from persimmonhinge.contracts import contract

_UNITS = {"_s": "seconds", "_octets": "octets"}


@dataclasses.dataclass(frozen=True)
class Row:
    """One setting as the page shows it.

    Attributes:
        key: Its place in the file; `[]` stands for each item of a list.
        default: Its default; `required` if there is none.
        unit: Its unit, empty for a plain number or text.
        allowed: The limits of a number, or the names that are allowed.
    """

    key: str
    default: str
    unit: str
    allowed: str


def list_rows(model: type[pydantic.BaseModel], before: str = "") -> list[Row]:
    """Returns all settings of a model, those of its parts included."""
    rows: list[Row] = []
    for name, field in model.model_fields.items():
        key = before + name
        part = _find_part(field.annotation)
        if part is None:
            rows.append(_make_row(key, field))
        else:
            rows += list_rows(part[0], key + part[1] + ".")
    return rows


def _find_part(annotation: Any) -> tuple[type[pydantic.BaseModel], str] | None:
    if inspect.isclass(annotation) and issubclass(
        annotation, pydantic.BaseModel
    ):
        # An address is written as one text.
        return None if annotation is contract.Address else (annotation, "")
    items = "[]" if typing.get_origin(annotation) is tuple else ""
    for argument in typing.get_args(annotation):
        part = _find_part(argument)
        if part is not None:
            return part[0], items + part[1]
    return None


def _make_row(key: str, field: fields.FieldInfo) -> Row:
    units = [u for ending, u in _UNITS.items() if key.endswith(ending)]
    return Row(
        key=key,
        default="required" if field.is_required() else _show(field.default),
        unit="".join(units),
        allowed=", ".join(_list_limits(field)),
    )


def _show(value: object) -> str:
    if value is None or value == ():
        return "none"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    return f"{value:g}" if isinstance(value, float) else str(value)


def _list_limits(field: fields.FieldInfo) -> Iterator[str]:
    kind = field.annotation
    if inspect.isclass(kind) and issubclass(kind, enum.Enum):
        yield ", ".join(str(member.value) for member in kind)
    for limit in field.metadata:
        if isinstance(limit, annotated_types.Gt):
            yield f"above {limit.gt}"
        elif isinstance(limit, annotated_types.Ge):
            yield f"from {limit.ge}"
        elif isinstance(limit, annotated_types.Le):
            yield f"to {limit.le}"
