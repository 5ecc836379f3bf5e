"""Tests of the owners of upstream addresses."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import owners

_ADDRESSES = tuple(
    contracts.Address(host="127.0.0.1", port=port) for port in range(1, 5)
)
_SERVICES = ("floor", "intake", "dispatch")
_CHANGE = strategies.tuples(
    strategies.sampled_from(_SERVICES),
    strategies.frozensets(strategies.sampled_from(_ADDRESSES)),
)


@hypothesis.given(strategies.lists(_CHANGE, min_size=1))
def test_owners_are_those_of_all_contracts_looked_at_together(
    changes: list[tuple[str, frozenset[contracts.Address]]],
) -> None:
    """A service's packet reaches an upstream that another service took over.

    Contracts change one after the other, and an address stands in several of
    them or in none. An owner that is kept from an earlier contract would let
    the former service go on.
    """
    kept = owners.AddressOwners()
    named: dict[str, frozenset[contracts.Address]] = {}
    newest: dict[str, int] = {}
    for revision, (name, addresses) in enumerate(changes, start=1):
        service = ids.ServiceName(name)
        kept.drop(service, named.get(name, frozenset()))
        kept.claim(service, ids.Revision(revision), addresses)
        named[name] = addresses
        newest[name] = revision
        for address in _ADDRESSES:
            claimants = [n for n in named if address in named[n]]
            expected = max(claimants, key=newest.__getitem__, default=None)
            assert kept.get(address) == expected
