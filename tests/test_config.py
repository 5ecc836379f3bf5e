"""Tests of reading settings files."""

from __future__ import annotations

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import yaml

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge.settings import entry

_GOOD = """
host: entry-1
domain: north
peers: {port: 7946, heartbeat_port: 7947}
platform: {endpoints: ["http://192.0.2.100:2379"]}
"""


def _read_error(text: str) -> str:
    try:
        config.parse(text, entry.EntrySettings, source="entry.yaml")
    except errors.SettingsError as error:
        return str(error)
    raise AssertionError("was allowed")


def test_least_settings_are_enough() -> None:
    settings = config.parse(_GOOD, entry.EntrySettings, source="entry.yaml")
    assert settings.host == "entry-1"
    assert settings.flows.ticket_life_s == 120.0


def test_error_names_file_key_value_and_what_is_allowed() -> None:
    text = _read_error(_GOOD.replace("port: 7946", "port: 70000"))
    for part in ("entry.yaml", "peers.port", "70000", "65535"):
        assert part in text


def test_unknown_key_is_refused_by_its_place() -> None:
    text = _read_error(_GOOD + "flows: {ticket_lief_s: 60}\n")
    assert "flows.ticket_lief_s" in text


def test_missing_key_is_named() -> None:
    assert "domain" in _read_error(_GOOD.replace("domain: north", ""))


def test_host_name_as_address_is_refused() -> None:
    text = _read_error(_GOOD + "metrics: {address: localhost}\n")
    assert "metrics.address" in text
    assert "localhost" in text


def test_text_that_is_not_yaml_is_refused() -> None:
    assert "is not YAML" in _read_error("host: [")


def test_file_that_is_not_there_is_named() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "none.yaml"
        try:
            config.load(path, entry.EntrySettings)
        except errors.SettingsError as error:
            assert "none.yaml" in str(error)
        else:
            raise AssertionError("no error")


@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(),
        lambda inner: (
            strategies.lists(inner)
            | strategies.dictionaries(
                strategies.sampled_from(["host", "peers", "port", "flows"]),
                inner,
            )
        ),
    )
)
def test_any_document_is_read_or_refused_as_settings(document: object) -> None:
    """The program dies of a traceback instead of naming the fault."""
    try:
        config.parse(
            yaml.safe_dump(document), entry.EntrySettings, source="entry.yaml"
        )
    except errors.SettingsError:
        pass
