"""Tests of the platform's entries."""

from __future__ import annotations

import unittest

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


def test_regions_and_limits_of_cold_upstreams_are_read() -> None:
    document = {
        **_STATE,
        "Routes": [
            {
                "Name": "r-1",
                "Host": "198.18.0.1",
                "Prefix": "/8443/",
                "Service": "a",
                "AllowedRegions": ["coast", "hills"],
            }
        ],
        "Services": [
            {"Name": "a", "ColdPerS": 4.0},
            {"Name": "b", "ColdPerS": 0.0},
            {"Name": "c"},
        ],
    }
    state = entries.decode_desired_state(msgspec.json.encode(document))
    (route,) = state.routes.values()
    assert route.regions == {"coast", "hills"}
    assert state.warm_up_limits == {"a": 4.0}


def test_targets_of_routes_and_caps_of_flows_are_read() -> None:
    """Guards against overload control that works with the wrong limits."""
    document = {
        **_STATE,
        "Routes": [
            {
                "Name": "r-1",
                "Host": "198.18.0.1",
                "Prefix": "/8443/",
                "Service": "a",
                "AimMs": 552,
                "TimeoutMs": 4422,
            },
            {
                "Name": "r-2",
                "Host": "198.18.0.1",
                "Prefix": "/8080/",
                "Service": "a",
                "AimMs": 0,
            },
        ],
        "Services": [{"Name": "a", "MaxConns": 2000}, {"Name": "b"}],
    }
    state = entries.decode_desired_state(msgspec.json.encode(document))
    with_targets, without = state.routes.values()
    assert with_targets.target_latency_s == 0.552
    assert with_targets.timeout_s == 4.422
    assert without.target_latency_s is None
    assert without.timeout_s is None
    assert state.max_flows == {"a": 2000}


def test_evacuated_domain_is_read_from_its_key() -> None:
    assert entries.decode_evacuated_domain("op/evacuate/hall") == "hall"
    for key in ("op/evacuate/", "op/evacuate/a/b"):
        with unittest.TestCase().assertRaises(errors.UnreadableEntryError):
            entries.decode_evacuated_domain(key)


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


_UPSTREAM: dict[str, object] = {
    "Service": "a",
    "Addr": "10.128.0.9:8080",
    "Zone": "hall",
    "Version": "v1",
    "Slots": 2,
    "State": "draining",
    "ColdLeftMs": 1500,
    "Seq": 4,
}
# What another writer may put in place of a field.
_FOREIGN: dict[str, tuple[object, ...]] = {
    "Service": (None, 4, ["a"]),
    "Addr": (None, "10.128.0.9", "x:y", 8080),
    "Zone": (None, 4),
    "Version": (None, 1),
    "Slots": (None, "2", 2.0, True, 0, -1),
    "State": (None, "sleeping", "", True),
    "ColdLeftMs": (None, "1500", -1),
    "Seq": (None, "4", 4.5),
    "born": ("1791174346251", 1.5, True, None, -1),
}


def decode(name: str = "i-7f3a91c2", **fields: object) -> upstreams.Upstream:
    """Reads the entry of an upstream with some fields changed."""
    value = msgspec.json.encode({**_UPSTREAM, **fields})
    return entries.decode_upstream(f"servers/{name}", value)


def is_refused(name: str, document: object) -> bool:
    """Tells whether an entry is unreadable."""
    value = msgspec.json.encode(document)
    try:
        entries.decode_upstream(f"servers/{name}", value)
    except errors.UnreadableEntryError:
        return True
    return False


def test_upstream_that_starts_again_is_another_one() -> None:
    first = decode(born=1_791_174_346_251)
    again = decode(born=1_791_174_399_000)
    assert first.number == again.number == decode().number
    assert len({first.id, again.id, decode().id}) == 3
    assert first == decode(born=1_791_174_346_251)


def test_token_names_the_upstream_and_its_service_but_no_start() -> None:
    """Guards against flows that end where hosts know another start."""
    first = decode(born=1_791_174_346_251)
    again = decode(born=1_791_174_399_000)
    assert first.token == again.token == decode().token
    others = (decode(Service="intake"), decode("i-7f3a91c3"))
    assert len({first.token, *(other.token for other in others)}) == 3


def test_entries_of_other_writers_are_unreadable() -> None:
    """New flows go to what somebody else wrote under `servers/`.

    An entry lacks a field, or has one of another type or with an unknown
    word. Cause: what is missing is filled with a default.
    """
    for field, values in _FOREIGN.items():
        if field in _UPSTREAM:
            lacking = {k: v for k, v in _UPSTREAM.items() if k != field}
            assert is_refused("i-7f3a91c2", lacking), field
        for value in values:
            foreign = {**_UPSTREAM, field: value}
            assert is_refused("i-7f3a91c2", foreign), (field, value)
    for name in ("", "i-", "xyz", "0" * 3 + "f" * 17):
        assert is_refused(name, _UPSTREAM), name
    for document in (None, 4, "x", [_UPSTREAM]):
        assert is_refused("i-7f3a91c2", document), document


def test_downloads_may_run_twice() -> None:
    route = {"Name": "r", "Host": "1.2.3.4", "Prefix": "/8/", "Service": "a"}
    for kind, expected in (
        ("download", routes.Repetition.IDEMPOTENT),
        ("idempotent", routes.Repetition.IDEMPOTENT),
        ("upload", routes.Repetition.AT_MOST_ONCE),
        ("non_idempotent", routes.Repetition.AT_MOST_ONCE),
        ("else", routes.Repetition.AT_MOST_ONCE),
    ):
        value = {"Version": 1, "Routes": [{**route, "Kind": kind}]}
        state = entries.decode_desired_state(msgspec.json.encode(value))
        (read,) = state.routes.values()
        assert read.repetition is expected


def test_upstream_is_read() -> None:
    upstream = decode()
    assert upstream.number == 0x7F3A91C2
    assert upstream.address == flows.Endpoint("10.128.0.9", 8080)
    assert upstream.state is upstreams.UpstreamState.DRAINING
    assert upstream.warm_up_s == 1.5


def test_what_is_no_entry_is_refused_with_its_key() -> None:
    for value in (b"", b"[]", b'{"Version": "x"}', b'{"Routes": []}'):
        try:
            entries.decode_desired_state(value)
        except errors.UnreadableEntryError as error:
            assert error.peer == "op/config"
            continue
        raise AssertionError(f"{value!r} was taken")
