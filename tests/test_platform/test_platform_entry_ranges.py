"""Tests of the ranges of fields in the platform's entries."""

from __future__ import annotations

from collections.abc import Iterable
import contextlib
import ipaddress
import unittest

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge.forwarding import address_text
from persimmonhinge.platform import entries
from tests.test_forwarding import entry_scene

check = unittest.TestCase()
_FOREIGN_ADDRESSES = (
    "\ufffd\ufffd:80",
    "10.0\x00.0.1:80",
    "localhost:80",
    "127.1:80",
    "1.2.3.4 x:80",
    "1.2.3.4\n:80",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "10.0.0.٨:80",
    "10.0.0.1:٨٠",
    "10.0.0.1:²",
    "10.0.0.1:+80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
)


# Out of the range of each whole number that is not negative.
_FOREIGN_NUMBERS = (10**400, -(10**400), 1e999, 2**64, -1, 1e308, 5e-324, 4.5)
# Out of the range of numbers that may be fractions.
_FOREIGN_FRACTIONS = (10**400, -(10**400), 1e999, -1e999, 2**64, -1, 1e308)


_FOREIGN_ROUTE_FIELDS = {
    "Host": ("1", "127.1", "1.2.3.4 x", "1.2.3.4\x00", "0x7f.1", "::1", ""),
    "Prefix": ("/99999999/", "/-4/", "/²/", "/8_0/", "//", "/+8/", "/8/x"),
}
_FOREIGN_NAMES = ("\ud800", "a\x00b", "a\nb", "\x85", "x" * 201)
_FOREIGN_UPSTREAMS = (*_FOREIGN_NAMES, "f@1791174346251", "", "xyz", "f" * 17)


def find_refused_field(**fields: object) -> str | None:
    """Returns the field for which an upstream is refused; None if it is not."""
    document = {**entry_scene.UPSTREAM, **fields}
    try:
        entries.decode_upstream("servers/i-1", entry_scene.encode(document))
    except errors.UnreadableEntryError as error:
        assert error.reason
        return error.field
    return None


def is_state_refused(changes: dict[str, object]) -> bool:
    """Returns whether a desired state or one of its parts is refused."""
    document = {**entry_scene.STATE, **changes}
    try:
        state = entries.decode_desired_state(entry_scene.encode(document))
    except errors.UnreadableEntryError:
        return True
    return bool(state.refused)


def list_states(
    field: str, values: Iterable[object]
) -> list[dict[str, object]]:
    """Returns the routes of states that have one field of a route changed."""
    return [{"Routes": [{**entry_scene.ROUTE, field: v}]} for v in values]


def test_addresses_that_no_packet_can_be_sent_to_are_refused() -> None:
    """Guards against a host that ends when it sends to an upstream.

    `sendto` raises `TypeError` for a host name that can't be encoded, and
    looks up all others while packets wait.
    """
    for address in _FOREIGN_ADDRESSES:
        assert find_refused_field(Addr=address) == "Addr", address
    for address in ("127.0.0.1:1", "10.0.0.0:65535", "240.0.0.1:080"):
        assert find_refused_field(Addr=address) is None, address


def test_routes_have_addresses_and_ports_that_packets_can_name() -> None:
    """Guards against a route at an address or port that nobody wrote."""
    for field, values in _FOREIGN_ROUTE_FIELDS.items():
        for changed in list_states(field, values):
            assert is_state_refused(changed), changed


def test_numbers_out_of_range_are_refused() -> None:
    """Guards against a host that ends, or doesn't start, by a large number.

    Whole numbers beyond the range of floats raise `OverflowError` where they
    are divided, and floats near its end where they are squared.
    """
    for field in ("Slots", "ColdLeftMs", "born"):
        for number in _FOREIGN_NUMBERS:
            assert find_refused_field(**{field: number}) == field, number
    for changed in list_states("Priority", _FOREIGN_NUMBERS):
        assert is_state_refused(changed), changed
    for field in ("AimMs", "TimeoutMs"):
        for changed in list_states(field, _FOREIGN_FRACTIONS):
            assert is_state_refused(changed), changed
    for number in _FOREIGN_FRACTIONS:
        backends = [{"Service": "a", "Weight": number}]
        route = {**entry_scene.ROUTE, "Backends": backends}
        cold = {"Name": "a", "ColdPerS": number}
        assert is_state_refused({"Routes": [route]}), number
        assert is_state_refused({"Services": [cold]}), number
    for number in _FOREIGN_NUMBERS:
        assert is_state_refused({"Version": number}), number
        assert is_state_refused({"Limits": {"IdleTimeoutMs": number}}), number
        full = {"Name": "a", "MaxConns": number}
        assert is_state_refused({"Services": [full]}), number


def test_names_that_no_encoder_takes_are_refused() -> None:
    """Guards against a host that ends when it logs or reports a name."""
    for name in _FOREIGN_NAMES:
        for field in ("Name", "Service"):
            assert all(map(is_state_refused, list_states(field, [name])))
        assert all(
            map(is_state_refused, list_states("AllowedRegions", [[name]]))
        )
        backends = [{"Service": name, "Weight": 1}]
        assert all(map(is_state_refused, list_states("Backends", [backends])))
        service = {"Name": name, "MaxConns": 1}
        assert is_state_refused({"Services": [service]}), name
    for name in (*_FOREIGN_NAMES, ""):
        for field in ("Service", "Zone"):
            assert find_refused_field(**{field: name}) == field, name
    for name in ("", "quai-é", "ラベル\u200d", "x" * 200):
        assert not any(map(is_state_refused, list_states("Name", [name])))


def test_keys_that_no_encoder_takes_are_refused() -> None:
    """Guards against a host that ends when it logs the key of an entry.

    An upstream whose name is the id of an incarnation of another one would
    take its flows.
    """
    value = entry_scene.encode(entry_scene.UPSTREAM)
    for name in _FOREIGN_UPSTREAMS:
        with check.assertRaises(errors.UnreadableEntryError) as refused:
            entries.decode_upstream(f"servers/{name}", value)
        assert refused.exception.field == "key", name
        str(refused.exception).encode()
    for name in _FOREIGN_NAMES:
        with check.assertRaises(errors.UnreadableEntryError):
            entries.decode_evacuated_domain(f"op/evacuate/{name}")


@hypothesis.given(
    strategies.text("0123456789.x \x00²")
    | strategies.ip_addresses(v=4).map(str)
)
def test_addresses_are_four_decimal_octets(text: str) -> None:
    expected = parsed = None
    with contextlib.suppress(ValueError):
        expected = int(ipaddress.IPv4Address(text))
    with contextlib.suppress(ValueError):
        parsed = address_text.parse_address(text)
    assert parsed == expected
