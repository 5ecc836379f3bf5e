"""Tests of the exchange between two hosts' records."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import rotation
from persimmonhinge.keys import store as key_stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from tests.test_contracts import bodies

_SERVICES = ("floor", "intake", "dispatch")
_RINGS = [rotation.write_body(rotation.make_ring()) for _ in range(4)]


def _make_contract(draw: tuple[str, int, bool]) -> control.ContractRecord:
    service, revision, deleted = draw
    if deleted:
        return bodies.make_tombstone(service, revision)
    return bodies.make_record(service, revision, port=7000 + revision)


_revisions = strategies.integers(1, 4)
_contracts = strategies.tuples(
    strategies.sampled_from(_SERVICES), _revisions, strategies.booleans()
).map(_make_contract)
_keys = strategies.integers(1, 3).map(
    lambda n: control.KeyRecord(ids.Revision(n), _RINGS[n])
)
_drains = strategies.builds(
    control.DrainRecord,
    strategies.sampled_from([ids.HostId("h1"), ids.HostId("h2")]),
    _revisions.map(ids.Revision),
    strategies.booleans(),
)
_records = strategies.lists(strategies.one_of(_contracts, _keys, _drains))


def _make_records(given: list[record_sets.Record]) -> record_sets.Records:
    records = record_sets.Records(
        contract_stores.ContractStore(),
        key_stores.KeyStore(),
        drain_stores.DrainStore(),
        host_counts.Counts(),
    )
    for record in given:
        records.take_in(record_sets.pack([record]), "test")
    return records


def _exchange(asker: record_sets.Records, other: record_sets.Records) -> None:
    answer = other.answer(asker.summarize())
    asker.take_in(answer, "other")
    for chunk in record_sets.split(asker.collect_wanted(answer)):
        other.take_in(chunk, "asker")


@hypothesis.example(
    [bodies.make_record("floor", 4)], [bodies.make_tombstone("floor", 4)]
)
@hypothesis.given(_records, _records)
def test_two_hosts_agree_after_exchanges_both_ways(
    one: list[record_sets.Record], other: list[record_sets.Record]
) -> None:
    """Two hosts keep different contracts in force for good.

    They have taken in different records, perhaps two bodies at the same
    revision from a platform that was restored.
    """
    first = _make_records(one)
    second = _make_records(other)
    _exchange(first, second)
    _exchange(second, first)
    _exchange(first, second)
    assert first.digest() == second.digest()
    assert sorted(map(repr, first.all())) == sorted(map(repr, second.all()))
    newest = _make_records([*one, *other])
    assert first.digest() == newest.digest()


def test_digest_differs_with_each_kind_of_record() -> None:
    empty = _make_records([])
    digests = {empty.digest()}
    for record in (
        bodies.make_record("floor", 2),
        bodies.make_tombstone("floor", 2),
        control.KeyRecord(ids.Revision(2), _RINGS[0]),
        control.KeyRecord(ids.Revision(2), _RINGS[1]),
        control.DrainRecord(ids.HostId("h1"), ids.Revision(2), True),
        control.DrainRecord(ids.HostId("h1"), ids.Revision(2), False),
    ):
        digests.add(_make_records([record]).digest())
    assert len(digests) == 7


def test_large_knowledge_comes_in_bounded_messages() -> None:
    many = [bodies.make_record(f"s{number}", 1) for number in range(400)]
    full = _make_records(list(many))
    empty = _make_records([])
    rounds = 0
    more = True
    while more:
        answer = full.answer(empty.summarize())
        size = sum(len(record.body) for record in answer.contracts)
        assert size <= record_sets.CHUNK_OCTETS
        empty.take_in(answer, "full")
        more = answer.more
        rounds += 1
    assert rounds > 1
    assert empty.digest() == full.digest()


def test_unreadable_record_is_counted_and_goes_no_further() -> None:
    records = _make_records([bodies.make_record("floor", 1)])
    bad = control.ContractRecord(
        ids.ServiceName("floor"), ids.Revision(2), b"{}"
    )
    good = bodies.make_record("intake", 3)
    taken = records.take_in(control.Knowledge(contracts=(bad, good)), "peer")
    assert taken.contracts == (good,)
    assert records.refused() == {"contracts/floor": 2}
    assert bad not in records.all()
