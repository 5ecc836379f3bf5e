"""Tests of the rule that merges records of a host, and of record tables."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import ids
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import table as table_module

_REPEATABLE = hypothesis.settings(deadline=None, derandomize=True)
_FORGET_S = 100.0


def make_record(host: str = "host-1", **fields: object) -> record_module.Record:
    record = record_module.Record(
        host=ids.HostId(host),
        domain=ids.DomainId("dom-a"),
        address=b"\x0a\x00\x00\x01",
        peer_port=7000,
        heartbeat_port=7001,
        incarnation=ids.Incarnation(1),
    )
    return msgspec.structs.replace(record, **fields)


record_strategy = strategies.builds(
    make_record,
    host=strategies.sampled_from(["host-1", "host-2", "host-3"]),
    address=strategies.sampled_from([b"\x0a\x00\x00\x01", b"\x0a\x00\x00\x02"]),
    incarnation=strategies.integers(1, 3).map(ids.Incarnation),
    version=strategies.integers(0, 2),
    claim=strategies.sampled_from(record_module.Claim),
    age_s=strategies.integers(0, 2),
)
one_host_strategy = record_strategy.map(
    lambda r: msgspec.structs.replace(r, host="h")
)


@_REPEATABLE
@hypothesis.given(one_host_strategy, one_host_strategy, one_host_strategy)
def test_merge_is_a_maximum(
    one: record_module.Record,
    two: record_module.Record,
    three: record_module.Record,
) -> None:
    merge = record_module.merge
    assert merge(one, one) == one
    assert merge(one, two) == merge(two, one)
    assert merge(merge(one, two), three) == merge(one, merge(two, three))


@_REPEATABLE
@hypothesis.given(one_host_strategy, one_host_strategy)
def test_merge_never_goes_back(
    one: record_module.Record, two: record_module.Record
) -> None:
    merged = record_module.merge(one, two)
    assert merged.full_version == max(one.full_version, two.full_version)
    if (
        one.claim is record_module.Claim.DEAD
        and two.full_version <= one.full_version
    ):
        assert merged.claim is record_module.Claim.DEAD


@_REPEATABLE
@hypothesis.given(strategies.lists(record_strategy, max_size=8))
def test_tables_with_same_records_are_equal(
    received: list[record_module.Record],
) -> None:
    one = table_module.Table(_FORGET_S, lambda: 50.0)
    other = table_module.Table(_FORGET_S, lambda: 50.0)
    for record in received:
        one.merge_record(record)
    for record in reversed([*received, *received]):
        other.merge_record(record)
    assert {r.host: r for r in one.all()} == {r.host: r for r in other.all()}
    assert one.digests() == other.digests()
    assert one.find_differing_buckets(other.digests()) == []


@_REPEATABLE
@hypothesis.given(record_strategy, record_strategy)
def test_digests_distinguish_records(
    one: record_module.Record, two: record_module.Record
) -> None:
    tables_of = []
    for record in (one, two):
        table = table_module.Table(_FORGET_S, lambda: 0.0)
        table.merge_record(record)
        tables_of.append(table)
    same = (one.host, one.precedence) == (two.host, two.precedence)
    assert (tables_of[0].digests() == tables_of[1].digests()) is same


def test_exchanged_death_is_still_forgotten() -> None:
    """Guards against hosts remembering a dead host forever.

    Two hosts alternately send each other the DEAD record, each before its own
    retention time for the record ends. If each transfer restarted the
    retention time, neither host would ever remove the record.
    """
    now = 0.0
    pair = [table_module.Table(_FORGET_S, lambda: now) for _ in range(2)]
    pair[0].merge_record(make_record(claim=record_module.Claim.DEAD))
    for sender, receiver in itertools.islice(
        itertools.cycle([(pair[0], pair[1]), (pair[1], pair[0])]), 10
    ):
        now += _FORGET_S / 4
        for table in pair:
            for host in table.find_expired():
                table.remove(host)
        for record in sender.all():
            receiver.merge_record(record)
    assert not len(pair[0])
    assert not len(pair[1])
