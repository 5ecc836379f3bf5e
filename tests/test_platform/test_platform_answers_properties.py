"""Property tests of whole answers of the store, from octets to the replica."""

from __future__ import annotations

from typing import Any

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge.forwarding.peers import codec
from tests.test_platform import scripted_store
from tests.test_platform import test_platform_answers as answers

_LEAVES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(),
    strategies.text(strategies.characters(), max_size=5),
)
_VALUES = strategies.recursive(
    _LEAVES,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.text(strategies.characters(), max_size=3),
            inner,
            max_size=3,
        ),
    ),
    max_leaves=5,
)


def _damage(
    fields: dict[str, Any],
) -> strategies.SearchStrategy[dict[str, Any]]:
    """Returns documents of which some fields hold any value, or are missing."""
    return strategies.fixed_dictionaries(
        {},
        optional={
            name: strategies.one_of(strategies.just(value), _VALUES)
            for name, value in fields.items()
        },
    )


_NUMBERS = strategies.one_of(
    strategies.sampled_from((3, (1 << 63) - 1, 0, -1, 1 << 63, 10**400)),
    strategies.integers(1 << 60, 1 << 70),
)
_KEYS = strategies.builds(
    "{}{}".format,
    strategies.sampled_from(("servers/", "op/evacuate/")),
    strategies.sampled_from(("", "i-1", "\ud800", "k" * 200)),
)
_ITEMS = strategies.lists(
    strategies.one_of(
        _VALUES,
        strategies.just(answers.GOOD),
        _damage({**answers.GOOD, "Tombstone": True}),
        strategies.builds(
            lambda key, revision: {"Key": key, "Revision": revision},
            _KEYS,
            _NUMBERS,
        ),
    ),
    max_size=4,
)
_ANSWERS = strategies.builds(
    lambda frame, items, name: {"CurrentRev": 9, **frame, name: items},
    _damage({"CurrentRev": 9, "HasMore": False}),
    strategies.one_of(_ITEMS, _VALUES),
    strategies.sampled_from(("items", "events")),
)


@hypothesis.settings(max_examples=400)
@hypothesis.given(
    strategies.one_of(_ANSWERS.map(scripted_store.encode), strategies.binary())
)
def test_any_answer_is_applied_or_refused(body: bytes) -> None:
    """Guards against an error that no caller of the store expects.

    What was applied can be encoded for other hosts.
    """
    host = scripted_store.make_host(body)
    for read in (host.read_all, host.watch_once):
        try:
            read()
        except errors.PlatformError:
            continue
    codec.SNAPSHOT_CODEC.encode(host.entries.make_snapshot(0, ()))
    assert not host.counts.get("input_failures_total", source="entry")
