"""Tests of the platform's entries."""

from __future__ import annotations

import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.platform import entries

_STATE = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "198.18.0.1",
            "Prefix": "/8443/",
            "Kind": "idempotent",
            "TimeoutMs": 1000,
            "Priority": 2,
            "Backends": [
                {"Service": "a", "Weight": 90},
                {"Service": "b", "Weight": 10},
            ],
        },
        {
            "Name": "r-2",
            "Host": "198.18.0.1",
            "Prefix": "/8080/",
            "Kind": "non_idempotent",
            "Service": "a",
            "New": {"field": 1},
        },
    ],
    "Services": [],
    "Limits": {"IdleTimeoutMs": 12000},
}


def test_desired_state_is_read() -> None:
    state = entries.decode_desired_state(msgspec.json.encode(_STATE))
    assert state.version == 7
    assert state.idle_timeout_s == 12.0
    split = state.routes[routes.RouteAddress(0xC6120001, 8443)]
    assert [(s.service, s.weight) for s in split.shares] == [
        ("a", 90),
        ("b", 10),
    ]
    assert split.repetition is routes.Repetition.IDEMPOTENT
    plain = state.routes[routes.RouteAddress(0xC6120001, 8080)]
    assert [share.service for share in plain.shares] == ["a"]
    assert plain.repetition is routes.Repetition.AT_MOST_ONCE


def test_upstream_is_read() -> None:
    value = msgspec.json.encode(
        {
            "Service": "a",
            "Addr": "10.128.0.9:8080",
            "Zone": "hall",
            "Version": "v1",
            "Slots": 2,
            "State": "draining",
            "ColdLeftMs": 1500,
            "Seq": 4,
        }
    )
    upstream = entries.decode_upstream("servers/i-7f3a91c2", value)
    assert upstream.number == 0x7F3A91C2
    assert upstream.address == flows.Endpoint("10.128.0.9", 8080)
    assert upstream.state is upstreams.UpstreamState.DRAINING
    assert upstream.cold_s == 1.5


def test_what_is_no_entry_is_refused_with_its_key() -> None:
    for value in (b"", b"[]", b'{"Version": "x"}', b'{"Routes": []}'):
        try:
            entries.decode_desired_state(value)
        except errors.UnreadableEntryError as error:
            assert error.peer == "op/config"
            continue
        raise AssertionError(f"{value!r} was taken")
