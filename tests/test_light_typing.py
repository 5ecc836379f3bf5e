"""Tests of the stand-ins for names of `typing`."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import store_entry as entry_lines
from persimmonhinge.forwarding import upstream_load as load_lines


def test_named_tuples_have_fields_defaults_and_methods() -> None:
    endpoint = flows.Endpoint("10.0.0.1", port=80)
    assert endpoint == ("10.0.0.1", 80)
    assert (endpoint.host, str(endpoint)) == ("10.0.0.1", "10.0.0.1:80")
    assert load_lines.UpstreamLoad(1, 2, 3).missed_openings == 0


def test_named_tuples_are_arrays_in_messages() -> None:
    line = entry_lines.StoreEntry("servers/1", None, 5)
    octets = msgspec.msgpack.encode(line)
    assert msgspec.msgpack.decode(octets) == ["servers/1", None, 5]
    read = msgspec.msgpack.decode(octets, type=entry_lines.StoreEntry)
    assert read == line
    wrong = msgspec.msgpack.encode(["servers/1", None, "5"])
    try:
        msgspec.msgpack.decode(wrong, type=entry_lines.StoreEntry)
    except msgspec.ValidationError:
        return
    raise AssertionError("a revision that is no number was taken")
