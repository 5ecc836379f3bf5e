"""Renders a template of settings as the platform does.

Values, values as JSON, and sections, as the platform's page on deployment
describes them.
"""

from __future__ import annotations

import json
import re
from typing import Any

_TAG = re.compile(r"\{\{(.*?)\}\}", re.DOTALL)


def render(template: str, fields: dict[str, Any]) -> str:
    """Returns the template filled with fields.

    Args:
        template: The template.
        fields: Fields of the platform's settings file.
    """
    tokens = _TAG.split(template)
    text, position = _render(tokens, 0, [fields], "", True)
    assert position >= len(tokens)
    return text


def _render(
    tokens: list[str],
    position: int,
    scopes: list[Any],
    key: str,
    is_last: bool,
) -> tuple[str, int]:
    """Renders up to the end of a section; texts and tags alternate."""
    pieces = []
    while position < len(tokens):
        pieces.append(tokens[position])
        if position + 1 == len(tokens):
            return "".join(pieces), position + 1
        tag = tokens[position + 1]
        position += 2
        if tag.startswith("/"):
            return "".join(pieces), position
        if tag[0] in "#^":
            text, position = _render_section(tokens, position, scopes, tag)
            pieces.append(text)
        elif tag == ",":
            pieces.append("" if is_last else ",")
        elif tag == "@":
            pieces.append(key)
        else:
            pieces.append(_render_value(tag, scopes))
    return "".join(pieces), position


def _render_section(
    tokens: list[str], position: int, scopes: list[Any], tag: str
) -> tuple[str, int]:
    value = _look_up(tag[1:], scopes)
    _, end = _render(tokens, position, scopes, "", True)
    is_absent = value is None or value is False
    if tag[0] == "^":
        entries = [("", scopes[-1])] if is_absent else []
    elif isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = [(str(index), entry) for index, entry in enumerate(value)]
    else:
        entries = [] if is_absent else [("", value)]
    texts = [
        _render(
            tokens, position, [*scopes, entry], name, number == len(entries)
        )[0]
        for number, (name, entry) in enumerate(entries, 1)
    ]
    return "".join(texts), end


def _render_value(tag: str, scopes: list[Any]) -> str:
    name, _, form = tag.partition("|")
    value = _look_up(name, scopes)
    if value is None:
        return ""
    if form == "json" or isinstance(value, dict | bool):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def _look_up(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                index = int(part)
                value = value[index] if index < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None
