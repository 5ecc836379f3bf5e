"""Fills in templates of settings as the users' platform does."""

from __future__ import annotations

from collections.abc import Mapping
import json
import re
from typing import Any

_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\|json\}\}")


def render(template: str, fields: Mapping[str, Any]) -> str:
    """Returns a template with its sections and values filled in."""
    return _VALUE.sub(
        lambda match: _to_json(_look_up(match[1], fields)),
        _SECTION.sub(lambda match: _open(match, fields), template),
    )


def _open(match: re.Match[str], fields: Mapping[str, Any]) -> str:
    value = _look_up(match[1], fields)
    if value is None or value is False:
        return ""
    return match[2].replace("{{.|json}}", _to_json(value))


def _to_json(value: Any) -> str:
    return "" if value is None else json.dumps(value)


def _look_up(path: str, fields: Mapping[str, Any]) -> Any:
    value: Any = fields
    for name in path.split("."):
        value = value.get(name) if isinstance(value, Mapping) else None
    return value
