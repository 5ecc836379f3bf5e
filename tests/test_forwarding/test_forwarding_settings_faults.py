"""Tests of settings of forwarding hosts that can't be read or used."""

from __future__ import annotations

import json
import pathlib
import tempfile
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import strategies
import yaml

from persimmonhinge import errors
from persimmonhinge.forwarding import settings as settings_module

_VALID: dict[str, Any] = {
    "host": "h-1",
    "domain": "north",
    "packets": "127.0.0.1:1",
    "pages": "127.0.0.1:2",
    "peer_ports": [3, 18],
    "store": {"address": "127.0.0.1:9"},
}
_DIGITS = int("9" * 400)
# A changed setting, and the field that the refusal names.
_REFUSED: tuple[tuple[dict[str, Any], str], ...] = (
    ({"host": "h\ud800"}, "host"),
    ({"domain": "north\0"}, "domain"),
    ({"regions": {"north\udfff": "a"}}, "regions"),
    ({"packets": "localhost:1"}, "packets"),
    ({"packets": "127.0.0\0.1:1"}, "packets"),
    ({"packets": "127.1:1"}, "packets"),
    ({"pages": "[::1]:1"}, "pages"),
    ({"pages": "127.0.0.1:\u00b2"}, "pages"),
    ({"pages": "127.0.0.1:" + "1" * 5000}, "pages"),
    ({"store": {"address": "store.example:1"}}, "store.address"),
    ({"seeds": ["127.0.0.1:1", "other:1"]}, "seeds"),
    ({"peer_ports": [65_535, 65_535]}, "peer_ports"),
    ({"peer_ports": []}, "peer_ports"),
    ({"metrics_port": _DIGITS}, "metrics_port"),
    ({"drain_limit_ms": _DIGITS}, "drain_limit_ms"),
    ({"call_limit_s": -_DIGITS}, "call_limit_s"),
    (
        {"overload_control": {"max_wait_ms": _DIGITS}},
        "overload_control.max_wait_ms",
    ),
    ({"overload_control": {"placement": None}}, "overload_control.placement"),
)
_REFUSED_DOCUMENTS = (
    b"",
    b"[1]",
    b"text",
    b"\xff\xfe\x00",
    b"\x80",
    b"host: h-1",
    b"a: !!timestamp x",
    b'a: !!int ""',
    b"a: !!bool x",
    b"a: 2001-99-99",
    b"? [a]\n: b",
    b"&a [*a]",
    b"&a {b: *a}",
    b"[" * 100_000,
    b'{"a": ' * 5000,
    b" " * (1 << 21),
    json.dumps(_VALID).encode()[:-1],
)
_TIMES = ("drain_limit_ms", "change_limit_ms", "stop_limit_s", "call_limit_s")


def load(text: bytes) -> settings_module.ForwardSettings:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "host.yaml"
        path.write_bytes(text)
        return settings_module.load(str(path))


def load_changed(**changes: Any) -> settings_module.ForwardSettings:
    return load(json.dumps({**_VALID, **changes}).encode())


def refuse(text: bytes) -> errors.RefusedSettingsError:
    try:
        settings = load(text)
    except errors.RefusedSettingsError as error:
        return error
    raise AssertionError(f"{text[:80]!r} was accepted as {settings}")


def test_unusable_values_are_refused_with_the_field_in_one_line() -> None:
    """Guards against values that pass and end the process where they are used.

    Names would be looked up, and addresses with a NUL, surrogates and ports
    beyond the range raise errors in the calls of the system and in encoders.
    """
    for change, field in _REFUSED:
        error = refuse(json.dumps({**_VALID, **change}).encode())
        assert error.field == field, (change, error.field)
        assert "\n" not in str(error)


def test_documents_that_are_no_settings_are_refused_in_one_line() -> None:
    """Guards against errors of a YAML constructor that end the process."""
    for text in _REFUSED_DOCUMENTS:
        assert "\n" not in str(refuse(text)), text[:80]


def test_yaml_is_read_without_the_c_loader() -> None:
    """Guards against a start that fails where PyYAML has no C extension."""
    loader = yaml.CSafeLoader
    with mock.patch.object(yaml, "CSafeLoader", loader):
        del yaml.CSafeLoader
        text = yaml.safe_dump(_VALID).encode()
        assert load(text) == load_changed()
        refuse(b"[" * 5000)


def test_settings_without_a_value_have_their_defaults() -> None:
    """Guards against a start that fails for a value that has a default."""
    optional = {
        name: None for name in vars(load_changed()) if name not in _VALID
    }
    assert load_changed(**optional) == load_changed()
    limits = ("drain_limit_ms", "change_limit_ms", "evacuation_limit_ms")
    for value in (True, False, 0):
        for name in (*limits, "stop_limit_s", "flow_life_s"):
            assert load_changed(**{name: value}) == load_changed()
    assert load_changed(regions=[]).regions == ()
    assert load_changed(regions={"a": None}).regions == ()
    assert load_changed(seeds=[None]).seeds == ()


@hypothesis.given(
    strategies.sampled_from(_TIMES),
    strategies.floats(0, exclude_min=True, allow_infinity=False),
)
def test_times_stay_within_what_the_system_accepts(
    name: str, value: float
) -> None:
    """Guards against time limits that overflow, or that call without a pause.

    A socket refuses a limit of many days, the store a watch of more than 30 s.
    """
    settings = load_changed(**{name: value})
    assert 0.05 <= settings.watch_wait_s <= 30
    assert settings.coalesce_s > 0
    assert 0 < settings.call_limit_s <= 86_400
    assert 0 < settings.stop_limit_s <= 86_400
