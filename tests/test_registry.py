"""Tests of the registry."""

from __future__ import annotations

from persimmonhinge import registry


def test_registry_names_known_entries_in_its_error() -> None:
    items: registry.Registry[int] = registry.Registry("thing")
    items.register("one")(1)
    assert items.get("one") == 1
    try:
        items.get("two")
    except KeyError as error:
        assert "known: one" in str(error)
    else:
        raise AssertionError("an unknown name was found")
