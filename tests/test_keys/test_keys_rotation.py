"""Tests of the order of steps in a rotation of ticket keys."""

from __future__ import annotations

from collections.abc import Callable

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation

_LIFE_S = 120.0
_REVISION = ids.Revision(7)


def _report(revision: int, age_s: float) -> rotation.HostKeys:
    return rotation.HostKeys(ids.Revision(revision), age_s)


def _hosts(
    *reports: rotation.HostKeys | None,
) -> dict[ids.HostId, rotation.HostKeys | None]:
    return {ids.HostId(f"h{n}"): r for n, r in enumerate(reports)}


_ALL_KNOW = _hosts(_report(7, 500), _report(7, 500))


def _states(ring: rings.KeyRing) -> list[tuple[int, str]]:
    return [(key.key_id, key.state.value) for key in ring.keys]


def _refuses(step: Callable[[], rings.KeyRing]) -> str:
    try:
        step()
    except errors.KeyRingError as error:
        return str(error)
    raise AssertionError("was allowed")


def test_whole_rotation_goes_through_its_states() -> None:
    ring = rotation.add_next(rotation.make_ring())
    assert _states(ring) == [(0, "current"), (1, "next")]
    ring = rotation.promote(ring, _REVISION, _ALL_KNOW)
    assert _states(ring) == [(0, "former"), (1, "current")]
    ring = rotation.retire(ring, _REVISION, _ALL_KNOW, _LIFE_S)
    assert _states(ring) == [(1, "current")]


def test_next_key_is_not_promoted_until_all_hosts_know_it() -> None:
    """Callers are refused for a while after a rotation.

    One host mints with the new key, and another one that does not know the
    key yet takes those tickets for forged.
    """
    ring = rotation.add_next(rotation.make_ring())
    for hosts in (
        _hosts(_report(7, 9), _report(6, 9)),
        _hosts(_report(7, 9), None),
        _hosts(),
    ):
        _refuses(lambda: rotation.promote(ring, _REVISION, hosts))  # noqa: B023


def test_former_key_is_not_retired_while_its_tickets_live() -> None:
    """Callers lose their flows at the end of a rotation.

    A host minted a ticket just before it heard of the promotion, and the
    former key is taken out of the ring before that ticket has expired.
    """
    ring = rotation.add_next(rotation.make_ring())
    ring = rotation.promote(ring, _REVISION, _ALL_KNOW)
    for hosts in (
        _hosts(_report(7, 500), _report(7, 119)),
        _hosts(_report(7, 500), _report(6, 500)),
        _hosts(_report(7, 500), None),
    ):
        _refuses(
            lambda: rotation.retire(ring, _REVISION, hosts, _LIFE_S)  # noqa: B023
        )


def test_steps_out_of_order_are_refused() -> None:
    ring = rotation.make_ring()
    _refuses(lambda: rotation.promote(ring, _REVISION, _ALL_KNOW))
    _refuses(lambda: rotation.retire(ring, _REVISION, _ALL_KNOW, _LIFE_S))
    both = rotation.add_next(ring)
    _refuses(lambda: rotation.add_next(both))


@hypothesis.given(
    strategies.lists(strategies.sampled_from(["add", "promote", "retire"]))
)
def test_any_steps_keep_one_key_that_mints(steps: list[str]) -> None:
    """No host can mint a ticket any more, or two keys share an id."""
    ring = rotation.make_ring()
    for step in steps:
        former = ring
        try:
            ring = _take_step(ring, step)
        except errors.KeyRingError:
            continue
        states = [key.state for key in ring.keys]
        assert states.count(rings.KeyState.CURRENT) == 1
        assert len({key.key_id for key in ring.keys}) == len(ring.keys)
        minted = former.current()
        if step != "retire":
            assert minted is not None and ring.find(minted.key_id)


def _take_step(ring: rings.KeyRing, step: str) -> rings.KeyRing:
    if step == "add":
        return rotation.add_next(ring)
    if step == "promote":
        return rotation.promote(ring, _REVISION, _ALL_KNOW)
    return rotation.retire(ring, _REVISION, _ALL_KNOW, _LIFE_S)


def test_ids_go_round_and_pass_over_those_in_use() -> None:
    ring = rotation.make_ring()
    for _ in range(2 * (rings.MAX_KEY_ID + 1)):
        ring = rotation.add_next(ring)
        ring = rotation.promote(ring, _REVISION, _ALL_KNOW)
        ring = rotation.retire(ring, _REVISION, _ALL_KNOW, _LIFE_S)
    assert _states(ring) == [(0, "current")]
