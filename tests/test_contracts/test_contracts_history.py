"""Tests of which absent records count as deleted."""

from __future__ import annotations

from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import history as histories
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import store as key_stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from tests.test_contracts import bodies

_FLOOR = bodies.make_record("floor", 5)
_INTAKE = bodies.make_record("intake", 7)


def _judge(
    known: list[control.ContractRecord],
    confirmed: list[control.ContractRecord],
    found: list[control.ContractRecord],
) -> tuple[dict[str, int], list[str]]:
    """Returns what is in force after compacted events, and what is lacking."""
    records = record_sets.Records(
        contract_stores.ContractStore(),
        key_stores.KeyStore(),
        drain_stores.DrainStore(),
        host_counts.Counts(),
    )
    records.take_in(control.Knowledge(tuple(known)), "test")
    history = histories.History(records)
    history.note_compacted()
    history.compare(
        histories.name_all(known),
        histories.name_all(confirmed),
        dict(histories.name_all(found)),
        20,
    )
    revisions = {
        entry.contract.service: int(entry.revision)
        for entry in records.contracts.entries()
    }
    return revisions, history.lacking()


def test_absent_record_is_deleted_if_a_newer_one_still_stands() -> None:
    both = [_FLOOR, _INTAKE]
    assert _judge(both, both, [_INTAKE]) == ({"intake": 7}, [])


def test_absent_record_stays_if_it_is_the_newest() -> None:
    both = [_FLOOR, _INTAKE]
    assert _judge(both, both, [_FLOOR]) == (
        {"floor": 5, "intake": 7},
        ["contracts/intake"],
    )


def test_absent_record_stays_if_the_newer_one_has_changed() -> None:
    both = [_FLOOR, _INTAKE]
    changed = bodies.make_record("intake", 9)
    assert _judge(both, both, [changed])[1] == ["contracts/floor"]


def test_absent_record_stays_if_this_host_never_read_it() -> None:
    """A contract is out of force after the platform was restored twice.

    It was accepted by a copy. Then the first platform came back, which has
    never held it but still holds a record of a higher revision.
    """
    assert _judge([_FLOOR, _INTAKE], [_INTAKE], [_INTAKE]) == (
        {"floor": 5, "intake": 7},
        ["contracts/floor"],
    )


def test_older_revision_in_the_platform_proves_that_it_went_back() -> None:
    both = [_FLOOR, _INTAKE]
    older = bodies.make_record("intake", 6)
    revisions, lacking = _judge(both, both, [older])
    assert revisions == {"floor": 5, "intake": 7}
    assert lacking == ["contracts/floor"]
