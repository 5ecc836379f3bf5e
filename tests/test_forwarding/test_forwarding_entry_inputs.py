"""Tests of a host whose store holds entries of other writers."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import strategies

from tests.test_forwarding import entry_scene

_HUGE = 10**400
_TEXTS = ("", "\ud800", "a\x00b", "a\nb", "é" * 300, "x" * 100_000)
_NUMBERS = (_HUGE, -_HUGE, 1e999, -1e999, 2**64, -1, 0, 1e308, 5e-324, 4.5)
_ADDRESSES = (
    "\ufffd\ufffd:80",
    "10.0\x00.0.1:80",
    "localhost:80",
    "127.1:80",
    "1.2.3.4 x:80",
    "10.0.0.1:٨٠",
    "10.0.0.1:²",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
)
_PREFIXES = ("/99999999/", "/-4/", "/²/", "/8_0/", "//", "/+80/", "/80/x")
_values = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(strategies.characters())
    | strategies.sampled_from((*_TEXTS, *_NUMBERS, *_ADDRESSES, *_PREFIXES)),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(), inner, max_size=3)
    ),
    max_leaves=5,
)


def _change(document: dict[str, Any]) -> strategies.SearchStrategy[Any]:
    """Returns documents with some fields changed."""
    fields = strategies.sampled_from(sorted(document))
    changes = strategies.dictionaries(fields, _values, max_size=2)
    return changes.map(lambda found: {**document, **found})


_routes = _change(
    {**entry_scene.ROUTE, "Prefix": "/9000/", "AllowedRegions": ["coast"]}
) | _change(
    {
        **entry_scene.ROUTE,
        "Backends": [
            {"Service": "floor", "Weight": 1},
            {"Service": "other", "Weight": 2.5},
        ],
    }
)
_backends = _change({"Service": "floor", "Weight": 1})
_routes |= strategies.lists(_backends, max_size=3).map(
    lambda found: {**entry_scene.ROUTE, "Prefix": "/9001/", "Backends": found}
)
_states = strategies.builds(
    lambda base, routes, services, limits: {
        **base,
        "Version": 8,
        "Routes": [entry_scene.ROUTE, *routes],
        "Services": [*services],
        "Limits": limits,
    },
    strategies.just(entry_scene.STATE),
    strategies.lists(_routes | _values, max_size=3),
    strategies.lists(_change(entry_scene.SERVICE) | _values, max_size=2),
    _change({"IdleTimeoutMs": 12000}),
) | _change({**entry_scene.STATE, "Version": 8})
_keys = strategies.sampled_from(
    (
        entry_scene.UPSTREAM_KEY,
        "servers/",
        "servers/i-\ud8001f",
        "servers/i-1\x00",
        "servers/xyz",
        "servers/" + "f" * 190,
        "servers/i-7f3a91c2@1791174346251",
        "op/evacuate/",
        "op/evacuate/hall",
        "op/evacuate/\ud800",
        "op/evacuate/a\nb",
        "op/evacuate/" + "x" * 10_000,
        "op/\ud800",
    )
) | strategies.text(strategies.characters()).map("servers/".__add__)


_upstreams = strategies.lists(
    strategies.tuples(_keys, _change(entry_scene.UPSTREAM) | _values),
    max_size=3,
)
_GOOD_KEY = "servers/i-00c0ffee"


@hypothesis.settings(max_examples=300)
@hypothesis.given(_upstreams, _states | _values)
def test_no_entry_ends_a_host_or_keeps_others_from_being_applied(
    upstreams: list[tuple[str, Any]], state: Any
) -> None:
    """Guards against a host that ends by what an entry of the store holds.

    Everything that uses its fields runs: the choice of an upstream, packets,
    reports, updates, snapshots, log lines and pages.
    """
    encode = entry_scene.encode
    with entry_scene.run_host() as host:
        found = [(key, encode(value)) for key, value in upstreams]
        good = (_GOOD_KEY, encode(entry_scene.UPSTREAM))
        host.put(*found, (entry_scene.STATE_KEY, encode(state)), good)
        host.run()
        assert host.has_upstream("i-00c0ffee")
        host.put(*((key, None) for key, _ in found))
        host.run()
        assert host.list_failures() == {}
