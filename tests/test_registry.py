"""Tests of the registry."""

from __future__ import annotations

from persimmonhinge import registry


def test_registry_names_known_entries_in_its_error() -> None:
    things: registry.Registry[int] = registry.Registry("thing")
    things.register("one")(1)
    assert things.get("one") == 1
    try:
        things.get("two")
    except KeyError as error:
        assert "known: one" in str(error)
    else:
        raise AssertionError("an unknown name was found")
