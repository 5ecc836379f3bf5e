"""Tests of the settings that the platform writes by the template."""

from __future__ import annotations

from collections.abc import Iterator
import copy
import json
import pathlib
from typing import Any

from persimmonhinge import json_reader
from persimmonhinge.forwarding import settings as settings_module
from tests.standins import deploy_template

_TEMPLATE = pathlib.Path(__file__).parents[2] / "deploy" / "settings.yaml"
_FIELDS: dict[str, Any] = {
    "Node": "edge-hall-a-1",
    "Role": "forward",
    "Zone": "hall-a",
    "Zones": {"hall-a": "region-1", "hall-b": "region-1"},
    "Listen": {
        "DatagramAddr": "10.1.0.10:8172",
        "ReadyAddr": "10.1.0.10:8167",
        "Control": "10.1.0.10:8166",
    },
    "InternalPorts": [7720, 7735],
    "Seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
    "Limits": {"MemoryMb": 300, "MaxFds": 4100},
    "Bounds": {
        "DrainMs": 3000,
        "ConfigApplyMs": 3000,
        "EvacuateMs": 5000,
        "GraceS": 6,
        "FlowTtlS": 60,
    },
    "platform": {"Addr": "10.200.1.7:8169", "HistoryS": 20},
}
# Fields that a host can't do without, and what the refusal names.
_NEEDED = {
    ("Node",): "host",
    ("Zone",): "domain",
    ("Listen",): "packets",
    ("Listen", "DatagramAddr"): "packets",
    ("Listen", "ReadyAddr"): "pages",
    ("InternalPorts",): "peer_ports",
    ("platform",): "store",
    ("platform", "Addr"): "store",
}
_MISSING = object()
_ABSENT: tuple[object, ...] = (_MISSING, None)


def list_paths() -> Iterator[tuple[str, ...]]:
    for name, value in _FIELDS.items():
        yield (name,)
        if isinstance(value, dict):
            yield from ((name, inner) for inner in value)


def list_empty(path: tuple[str, ...]) -> list[object]:
    """Returns the empty list or table of the type of a field, if it has one."""
    value: Any = _FIELDS
    for name in path:
        value = value[name]
    return [type(value)()] if isinstance(value, (list, dict)) else []


def change(path: tuple[str, ...], value: object) -> dict[str, Any]:
    fields = copy.deepcopy(_FIELDS)
    table = fields
    for name in path[:-1]:
        table = table[name]
    if value is _MISSING:
        del table[path[-1]]
    else:
        table[path[-1]] = value
    return fields


def render(fields: dict[str, Any]) -> bytes:
    return deploy_template.render(_TEMPLATE.read_text(), fields).encode()


def test_full_settings_are_taken_over() -> None:
    text = render(_FIELDS)
    # A start with all fields needs no YAML parser.
    json_reader.decode_object(text)
    settings = settings_module.parse(text)
    assert settings.seeds == tuple(_FIELDS["Seeds"])
    assert settings.peer_ports == (7720, 7735)
    assert dict(settings.regions) == _FIELDS["Zones"]
    assert settings.evacuation_limit_ms == 5000
    assert settings.stop_limit_s == 6


def test_start_needs_no_field_that_has_a_default() -> None:
    """Guards against a system that doesn't start where a field is left out.

    Where a value is left out the rendered settings are no JSON, but YAML.
    """
    for path in list_paths():
        for value in (*_ABSENT, *list_empty(path)):
            text = render(change(path, value))
            if path not in _NEEDED:
                settings_module.parse(text)
                continue
            if value in _ABSENT:
                check_refusal(text, _NEEDED[path])


def check_refusal(text: bytes, name: str) -> None:
    try:
        settings_module.parse(text)
    except ValueError as error:
        assert name in str(error), (name, error)
        return
    raise AssertionError(f"settings without {name} were accepted")


def test_bounds_may_be_fractions_or_truth_values() -> None:
    """Guards against a system that doesn't start for the form of a bound."""
    for name in _FIELDS["Bounds"]:
        for value in (True, False, 0, 0.0, 0.25, 3000.5, 1e9):
            text = render(change(("Bounds", name), value))
            json.loads(text)
            settings_module.parse(text)


def test_entries_without_a_value_are_left_out() -> None:
    regions = {"hall-a": None, "hall-b": "region-1"}
    settings_module.parse(render(change(("Zones",), regions)))
