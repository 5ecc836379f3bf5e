"""The difference between two states of a contract, in words."""

from __future__ import annotations

from typing import Any

_NAME_KEYS = ("id", "name")


def describe(
    before: dict[str, Any] | None, after: dict[str, Any] | None
) -> list[str]:
    """Returns a line for each difference, in the order of the members.

    Args:
        before: What stood there, as JSON; None for nothing.
        after: What stands there, as JSON; None for nothing.
    """
    if before is None and after is None:
        return []
    if before is None:
        return ["created"]
    if after is None:
        return ["deleted"]
    return _compare("", before, after)


def _compare(path: str, before: Any, after: Any) -> list[str]:
    if before == after:
        return []
    if isinstance(before, dict) and isinstance(after, dict):
        return _compare_members(path, before, after)
    if _is_named_list(before) and _is_named_list(after):
        lines = _compare_members(path, _by_name(before), _by_name(after))
        # Call classes count in their order, so a new order is a change.
        return lines or [f"{path}: order changed"]
    return [f"{path}: {_show(before)} -> {_show(after)}"]


def _compare_members(
    path: str, before: dict[str, Any], after: dict[str, Any]
) -> list[str]:
    lines = []
    for name in [*before, *(name for name in after if name not in before)]:
        place = f"{path}.{name}" if path else name
        if name not in after:
            lines.append(f"{place}: removed {_show(before[name])}")
        elif name not in before:
            lines.append(f"{place}: added {_show(after[name])}")
        else:
            lines += _compare(place, before[name], after[name])
    return lines


def _is_named_list(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and _find_name(item) is not None
        for item in value
    )


def _by_name(items: list[dict[str, Any]]) -> dict[str, Any]:
    return {_find_name(item): item for item in items}


def _find_name(item: dict[str, Any]) -> Any:
    return next((item[key] for key in _NAME_KEYS if key in item), None)


def _show(value: Any) -> str:
    if isinstance(value, dict):
        members = (f"{key}={_show(part)}" for key, part in value.items())
        return "{" + ", ".join(members) + "}"
    return "nothing" if value is None else str(value)
