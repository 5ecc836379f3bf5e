"""Tests of the platform's list of hosts, which lags and may hold anything."""

from __future__ import annotations

import json

from persimmonhinge.contracts import host_list
from persimmonhinge.store import port

_KEY = "/test/hosts/h1"


def make_value(**members: object) -> bytes:
    entry = {
        "host": "h1",
        "domain": "north",
        "address": "127.0.0.1",
        "port": 1,
        "heartbeat_port": 2,
        "state": "leaving",
    }
    return json.dumps({**entry, **members}).encode()


def list_names(listed: host_list.HostList) -> list[str]:
    return [host.host for host in listed.hosts()]


def test_list_follows_changes_and_a_new_reading_replaces_it() -> None:
    listed = host_list.HostList("/test/")
    listed.replace([port.KeyValue(_KEY, make_value(), 1)])
    other = make_value(host="h2")
    listed.take_event(port.WatchEvent("/test/hosts/h2", other, 2))
    listed.take_event(port.WatchEvent("/test/contracts/h3", other, 3))
    assert list_names(listed) == ["h1", "h2"]
    listed.take_event(port.WatchEvent(_KEY, None, 4))
    assert list_names(listed) == ["h2"]
    listed.replace([])
    assert not list_names(listed)


def test_entry_that_cannot_be_read_is_passed_over() -> None:
    listed = host_list.HostList("/test/")
    bad = [
        b"\xff",
        b"[]",
        b"{}",
        make_value(address="a name"),
        make_value(host=""),
    ]
    for value in bad:
        listed.replace([port.KeyValue(_KEY, value, 1)])
        assert not list_names(listed), value
