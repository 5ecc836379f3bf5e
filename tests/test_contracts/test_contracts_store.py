"""Tests of the store of contracts: it only moves forward."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import store as stores
from persimmonhinge.peers.messages import control
from tests.test_contracts import bodies

_FLOOR = ids.ServiceName("floor")
# The history of one service: contracts, a delete, and a new contract.
_HISTORY = (
    bodies.make_record("floor", 3, port=7003),
    bodies.make_record("floor", 5, port=7005),
    bodies.make_tombstone("floor", 8),
    bodies.make_record("floor", 9, port=7009),
    bodies.make_tombstone("floor", 12),
)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(_HISTORY), min_size=1)
)
def test_any_offers_end_with_the_newest_and_never_go_back(
    offers: list[control.ContractRecord],
) -> None:
    """A service answers by an old contract again.

    Records come twice, late or not at all, in any order. Taking in a late
    one would put the former contract back in force.
    """
    store = stores.ContractStore()
    seen: list[int] = []
    for record in offers:
        store.offer(record)
        seen.append(store.revisions()["floor"])
        _check_in_force(store, seen[-1])
    assert seen == sorted(seen)
    assert seen[-1] == max(record.revision for record in offers)


def _check_in_force(store: stores.ContractStore, revision: int) -> None:
    entry = store.get(_FLOOR)
    record = next(r for r in _HISTORY if r.revision == revision)
    if not record.body:
        assert entry is None
        return
    assert entry is not None
    assert entry.revision == revision
    assert entry.contract.address.port == 7000 + revision


def test_two_bodies_at_one_revision_end_alike_in_both_orders() -> None:
    one = bodies.make_record("floor", 4, port=7001)
    other = bodies.make_record("floor", 4, port=7002)
    first = stores.ContractStore()
    second = stores.ContractStore()
    for store, records in ((first, (one, other)), (second, (other, one))):
        for record in records:
            store.offer(record)
    assert first.records() == second.records()


def test_unreadable_record_leaves_the_former_in_force() -> None:
    store = stores.ContractStore()
    store.offer(bodies.make_record("floor", 2))
    other = bodies.make_record("intake", 5).body
    for body in (b"{", b"[]", b'{"service": "floor"}', other):
        try:
            store.offer(control.ContractRecord(_FLOOR, ids.Revision(5), body))
        except errors.ContractError as error:
            assert error.peer == "floor"
        else:
            raise AssertionError(f"{body!r} was taken in")
    assert store.revisions() == {"floor": 2}
    entry = store.get(_FLOOR)
    assert entry is not None and entry.revision == 2


@dataclasses.dataclass
class _Clock:
    now: float = 0.0

    def __call__(self) -> float:
        return self.now


def test_moved_address_waits_for_all_hosts_to_know() -> None:
    """A request of one service is run by an upstream of another.

    An operator gives an upstream of `floor` to `intake`. A host that has not
    heard of it yet sends it requests of `floor`, while a host that has sends
    it those of `intake`.
    """
    clock = _Clock()
    store = stores.ContractStore(clock)
    store.offer(bodies.make_record("floor", 1))
    entry = store.get(_FLOOR)
    assert entry is not None
    address = entry.contract.upstreams[0].address
    intake = ids.ServiceName("intake")
    assert store.may_give_work(_FLOOR, address)
    store.offer(bodies.make_record("intake", 2))
    assert store.owner_of(address) == intake
    assert not store.may_give_work(_FLOOR, address)
    assert not store.may_give_work(intake, address)
    clock.now = 6.9
    assert not store.may_give_work(intake, address)
    clock.now = 7.0
    assert store.may_give_work(intake, address)
    assert not store.may_give_work(_FLOOR, address)


def test_address_that_its_service_gave_up_first_waits_as_well() -> None:
    clock = _Clock()
    store = stores.ContractStore(clock)
    store.offer(bodies.make_record("floor", 1))
    entry = store.get(_FLOOR)
    assert entry is not None
    address = entry.contract.upstreams[0].address
    store.offer(bodies.make_tombstone("floor", 2))
    assert store.owner_of(address) is None
    clock.now = 5.0
    store.offer(bodies.make_record("intake", 3))
    assert not store.may_give_work(ids.ServiceName("intake"), address)
    clock.now = 7.0
    assert store.may_give_work(ids.ServiceName("intake"), address)


def test_contract_that_changes_keeps_its_addresses_at_work() -> None:
    store = stores.ContractStore(_Clock())
    store.offer(bodies.make_record("floor", 1))
    store.offer(bodies.make_record("floor", 2))
    entry = store.get(_FLOOR)
    assert entry is not None
    for upstream in entry.contract.upstreams:
        assert store.may_give_work(_FLOOR, upstream.address)
