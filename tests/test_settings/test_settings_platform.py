"""Tests of the settings of the platform's store."""

from __future__ import annotations

import pydantic

from persimmonhinge.settings import entry


def test_endpoints_are_plain_http_with_a_port() -> None:
    good = ("http://192.0.2.1:8169", "http://store:80/")
    assert entry.PlatformSettings(endpoints=good).endpoints == good
    for bad in ("https://192.0.2.1:8169", "192.0.2.1:8169", "http://store"):
        try:
            entry.PlatformSettings(endpoints=(bad,))
        except pydantic.ValidationError as error:
            assert "is not http://ADDRESS:PORT" in str(error)
            continue
        raise AssertionError(f"{bad} was taken")
