"""Tests of this host's entry in the platform's list."""

from __future__ import annotations

import json

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import hosts
from tests.support import trios
from tests.test_contracts import fake_platform

_KEY = "/test/hosts/h1"
_HOST = ids.HostId("h1")


@trios.clock_test
async def test_leaving_changes_the_state_and_keeps_the_rest() -> None:
    platform = fake_platform.FakePlatform()
    entry = {"host": "h1", "metrics_port": 9100, "state": "live", "more": [1]}
    platform.put(_KEY, json.dumps(entry).encode())
    await hosts.announce_leaving(platform.client("h1"), "/test/", _HOST)
    assert json.loads(platform.values[_KEY].value) == {
        **entry,
        "state": "leaving",
    }


@trios.clock_test
async def test_host_that_is_not_listed_is_not_added() -> None:
    platform = fake_platform.FakePlatform()
    await hosts.announce_leaving(platform.client("h1"), "/test/", _HOST)
    assert not platform.values


@trios.clock_test
async def test_entry_that_is_no_object_is_reported() -> None:
    platform = fake_platform.FakePlatform()
    platform.put(_KEY, b"[]")
    try:
        await hosts.announce_leaving(platform.client("h1"), "/test/", _HOST)
    except errors.PlatformError as error:
        assert error.peer == "h1"
    else:
        raise AssertionError("no error")
