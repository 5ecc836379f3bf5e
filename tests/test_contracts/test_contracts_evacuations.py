"""Tests of failure domains that operators evacuate."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import trio

from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import host_drains
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import store as key_stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from tests.standins import platform_operators
from tests.support import trios
from tests.test_contracts import bodies

_DOMAIN = ids.DomainId("d0")
_TARGET = drain_stores.make_domain_target(_DOMAIN)
_FLOOR = ids.ServiceName("floor")
# Evacuated and taken back by turns, at growing revisions.
_HISTORY = tuple(
    control.DrainRecord(_TARGET, ids.Revision(revision), revision % 2 == 0)
    for revision in range(10, 16)
)


def make_records() -> record_sets.Records:
    """Returns the stores of a host that knows one contract."""
    records = record_sets.Records(
        contract_stores.ContractStore(),
        key_stores.KeyStore(),
        drain_stores.DrainStore(),
        host_counts.Counts(),
    )
    take(records, bodies.make_record("floor", 3))
    return records


def take(records: record_sets.Records, record: record_sets.Record) -> None:
    """Has a host hear of a record."""
    records.take_in(record_sets.pack([record]), "test")


def find_states(
    records: record_sets.Records,
) -> dict[str, contracts.UpstreamState]:
    """Returns the states of upstreams by failure domain."""
    entry = records.contracts.get(_FLOOR)
    assert entry is not None
    return {u.domain: u.state for u in entry.contract.upstreams}


def is_evacuated(records: record_sets.Records) -> bool:
    """Tells whether the upstreams of the domain drain."""
    found = find_states(records)[_DOMAIN]
    return found is contracts.UpstreamState.DRAINING


def test_upstreams_of_an_evacuated_domain_drain_until_it_is_restored() -> None:
    """Guards against new work where operators evacuated the domain."""
    records = make_records()
    version = records.contracts.changed.version
    take(records, control.DrainRecord(_TARGET, ids.Revision(5), True))
    assert is_evacuated(records)
    assert records.contracts.changed.version > version
    take(records, bodies.make_record("floor", 6, port=7006))
    assert is_evacuated(records)
    take(records, control.DrainRecord(_TARGET, ids.Revision(7), False))
    assert not is_evacuated(records)


def test_evacuation_is_no_drain_of_hosts() -> None:
    """Guards against a host that leaves since a domain has its name."""
    records = make_records()
    take(records, control.DrainRecord(_TARGET, ids.Revision(5), True))
    assert records.drains.drained() == []
    assert records.drains.evacuated() == {_DOMAIN}
    assert not records.drains.is_drained(ids.HostId(_DOMAIN))


def test_contract_spreads_as_it_was_written_while_a_domain_is_evacuated() -> (
    None
):
    """Guards against a drain that stays in contracts of other hosts."""
    records = make_records()
    take(records, control.DrainRecord(_TARGET, ids.Revision(5), True))
    record = records.contracts.get_record(_FLOOR)
    assert record == bodies.make_record("floor", 3)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(_HISTORY), min_size=1)
)
def test_evacuations_only_move_forward(
    heard: list[control.DrainRecord],
) -> None:
    """Guards against older news that bring an evacuation or its end back."""
    records = make_records()
    for record in heard:
        take(records, record)
    newest = max(heard, key=lambda record: record.revision)
    assert is_evacuated(records) is newest.drained


@trios.clock_test
async def test_operators_that_race_evacuate_a_domain_once() -> None:
    """Guards against a change of another operator that hides an evacuation."""
    async with platform_operators.run_operators() as operators:
        drains = host_drains.HostDrains(
            operators.platform, platform_operators.PREFIX, operators.writer
        )
        made: list[audit.AuditRecord | None] = []

        async def evacuate(operator: str, domain: str) -> None:
            request = platform_operators.make_request(operator)
            made.append(await drains.evacuate(ids.DomainId(domain), request))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(evacuate, "anna", _DOMAIN)
            nursery.start_soon(evacuate, "ben", _DOMAIN)
            nursery.start_soon(evacuate, "carl", "south")
        listed = await drains.list_evacuated()
        restored = await drains.restore(
            _DOMAIN, platform_operators.make_request()
        )
    records = [record for record in made if record is not None]
    assert len(records) == 2
    assert {r.action for r in records} == {audit.AuditAction.EVACUATE_DOMAIN}
    assert sorted(listed) == [_DOMAIN, "south"]
    assert restored is not None
    assert restored.action is audit.AuditAction.RESTORE_DOMAIN
