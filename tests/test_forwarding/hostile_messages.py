"""Octets shaped like messages between hosts, with any values."""

from __future__ import annotations

import math
from typing import Any
import zlib

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import ids
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import tokens
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as readers

UPSTREAM = "1"
TOKEN = tokens.compute_token(ids.UpstreamName(f"i-{UPSTREAM}"), scenes.SERVICE)
_HASH = service_demand.hash_service(scenes.SERVICE)

_INTEGERS = strategies.sampled_from(
    [TOKEN, _HASH, -1, 0, 1, 5, 100, 2**32 - 1, 2**32, 2**53]
    + [2**53 - 1, 2**63 - 1, 2**63, 2**64 - 1, -(2**63)]
)
_COUNTS = strategies.integers(0, 30)
_TEXTS = strategies.sampled_from(
    ["north", "south", "h-2", "", '\n"{\\', "\x00", "x" * 300, "servers/"]
) | strategies.text(max_size=5)
_VALUES: strategies.SearchStrategy[Any] = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.sampled_from([math.nan, math.inf, -0.5])
    | _INTEGERS
    | _TEXTS
    | strategies.binary(max_size=5),
    lambda inner: strategies.lists(inner, max_size=4),
    max_leaves=6,
)
_PEERS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["10.0.0.3", "10.0.0.4", "127.1", "0.0.0.0", "224.0.0.1", "a\0"]
        ),
        strategies.sampled_from([7, 0, -1, 65_536, 2**63]),
    ),
    max_size=4,
)
_LOADS = strategies.lists(
    strategies.tuples(
        strategies.just(TOKEN) | _INTEGERS, *[_COUNTS | _INTEGERS] * 7
    ),
    max_size=4,
)
_DEMANDS = strategies.lists(
    strategies.tuples(strategies.just(_HASH) | _INTEGERS, _COUNTS, _INTEGERS),
    max_size=4,
)
_REVISIONS = strategies.just(0) | strategies.integers(0, 9) | _INTEGERS
_ENTRIES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["op/config", readers.make_key(UPSTREAM), "servers/x", "k" * 300]
        )
        | _TEXTS,
        strategies.none()
        | strategies.sampled_from(
            [readers.make_entry(), readers.make_state(2), b"{}"]
        )
        | strategies.binary(max_size=5),
        _REVISIONS,
    ),
    max_size=4,
)
_FLAGS = strategies.booleans()
_FIELDS: dict[str, tuple[strategies.SearchStrategy[Any], ...]] = {
    "report": (
        _TEXTS,
        strategies.integers(0, 2) | _INTEGERS,
        strategies.integers(0, 99) | _INTEGERS,
        strategies.integers(0, 999) | _INTEGERS,
        _TEXTS,
        _REVISIONS,
        strategies.integers(-1, 999) | _INTEGERS,
        _FLAGS,
        _FLAGS,
        _LOADS,
        _PEERS,
        _REVISIONS,
        _DEMANDS,
    ),
    "news": (_REVISIONS, _REVISIONS, _FLAGS, _ENTRIES, _REVISIONS),
    "pull": (_REVISIONS, _FLAGS, _FLAGS, _FLAGS),
    "snapshot": (
        *(_REVISIONS, _FLAGS, _ENTRIES, _PEERS, _FLAGS, _REVISIONS, _FLAGS),
    ),
}


@strategies.composite
def make_message(draw: strategies.DrawFn, *tags: str) -> bytes:
    """Returns a message of one of the types, or what is left of one.

    Some have any value in a field, miss members, are compressed, cut short or
    have a bit flipped.
    """
    tag = draw(strategies.sampled_from(tags))
    members = [tag, *(draw(field) for field in _FIELDS[tag])]
    change = draw(strategies.integers(0, 9))
    if change == 0:
        members[draw(strategies.integers(0, len(members) - 1))] = draw(_VALUES)
    if change == 1:
        members = members[: draw(strategies.integers(0, len(members)))]
    octets = msgspec.msgpack.encode(members)
    if change == 2:
        octets += draw(strategies.binary(max_size=3))
    if change == 3:
        octets = octets[: draw(strategies.integers(0, len(octets)))]
    if change == 4:
        flipped = bytearray(octets)
        flipped[draw(strategies.integers(0, len(octets) - 1))] ^= 1 << draw(
            strategies.integers(0, 7)
        )
        octets = bytes(flipped)
    if change == 5:
        octets = msgspec.msgpack.encode(["packed", zlib.compress(octets)])
    hypothesis.event(f"{tag}, change {change}")
    return octets
