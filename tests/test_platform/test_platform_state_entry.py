"""Tests of a desired state of which only a part can be read."""

from __future__ import annotations

from typing import Any
import unittest

from persimmonhinge import errors
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import former_parts
from persimmonhinge.forwarding import refused_part
from persimmonhinge.forwarding import route
from persimmonhinge.platform import entries
from tests.test_forwarding import entry_scene

_FIRST, _SECOND = entry_scene.STATE["Routes"]
_PORT, _OTHER_PORT = 443, 8443


def decode(**fields: Any) -> desired_state.DesiredState:
    """Returns a desired state with some fields changed."""
    document = {**entry_scene.STATE, "Version": 8, **fields}
    return entries.decode_desired_state(entry_scene.encode(document))


def list_ports(state: desired_state.DesiredState) -> list[int]:
    """Returns the ports of the routes of a desired state."""
    return sorted(address.port for address in state.routes)


def test_unreadable_part_keeps_no_other_from_coming_into_force() -> None:
    """Guards against a change that one bad route keeps from all callers."""
    bad_route = {**_SECOND, "Prefix": "/x/"}
    bad = {"Name": "floor", "MaxConns": -1}
    for fields, field in (
        ({"Routes": [_FIRST, bad_route]}, "Routes[1].Prefix"),
        ({"Routes": [_FIRST, None]}, "Routes[1]"),
        ({"Services": [entry_scene.SERVICE, bad]}, "Services[1].MaxConns"),
        ({"Services": {}}, "Services"),
        ({"Limits": {"IdleTimeoutMs": None}}, "Limits.IdleTimeoutMs"),
        ({"Limits": 1}, "Limits"),
    ):
        state = decode(**fields)
        (part,) = state.refused
        assert part.error.field == field
        assert part.error.peer == entries.DESIRED_STATE
        assert state.version == 8
        assert _PORT in list_ports(state)


def test_state_without_version_or_list_of_routes_is_refused() -> None:
    """Guards against routes that vanish with a state that can't be read."""
    for field, value in (("Version", 4.5), ("Version", -1), ("Routes", {})):
        with unittest.TestCase().assertRaises(
            errors.UnreadableEntryError
        ) as refused:
            decode(**{field: value})
        assert refused.exception.field == field


def test_unreadable_route_keeps_its_former_form() -> None:
    """Guards against callers of a route who are refused by its bad change.

    A route is found by its name, or else by its address; if it has neither,
    no route is removed.
    """
    former = decode()
    bad = {**_SECOND, "Priority": -1}
    nameless = {**bad, "Name": None}
    moved = {**bad, "Prefix": "/9000/"}
    for routes, ports in (
        ([_FIRST, bad], [_PORT, _OTHER_PORT]),
        ([_FIRST, nameless], [_PORT, _OTHER_PORT]),
        ([_FIRST, moved], [_PORT, _OTHER_PORT]),
        ([bad], [_OTHER_PORT]),
        ([_FIRST, {**bad, "Name": "r-3", "Prefix": "/9000/"}], [_PORT]),
        ([None], [_PORT, _OTHER_PORT]),
        ([{**_FIRST, "Name": "r-2", "Prefix": "/8443/"}, bad], [_OTHER_PORT]),
    ):
        state = former_parts.retain_former_parts(decode(Routes=routes), former)
        assert list_ports(state) == ports, routes
        again = former_parts.retain_former_parts(decode(Routes=routes), state)
        assert again.routes == state.routes
        other = route.RouteAddress(0xC6120001, _OTHER_PORT)
        assert state.routes.get(other) in (None, former.routes[other])


def test_unreadable_limits_keep_their_former_values() -> None:
    """Guards against upstreams that get more flows than they hold."""
    former = decode()
    bad = {"Name": "floor", "MaxConns": "x"}
    other = {"Name": "intake", "MaxConns": 7}
    for services, max_flows in (
        ([bad, other], {"floor": 2000, "intake": 7}),
        ([{"Name": "floor", "MaxConns": 9}, None], {"floor": 9, "intake": 5}),
        ("x", {"floor": 2000, "intake": 5}),
        ([other], {"intake": 7}),
    ):
        state = former_parts.retain_former_parts(
            decode(Services=services), former
        )
        assert state.max_flows == max_flows
    state = former_parts.retain_former_parts(decode(Limits=1), former)
    assert state.idle_timeout_s == former.idle_timeout_s == 12.0
    assert state.refused[0].section is refused_part.Section.LIMITS
