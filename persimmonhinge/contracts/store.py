"""The contracts that a host knows; they only ever move forward."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import time

import pydantic

from persimmonhinge import changes
from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import freshness as freshness_parts
from persimmonhinge.contracts import owners as address_owners
from persimmonhinge.contracts import quarantine as quarantines
from persimmonhinge.peers.messages import control

_STEP = "read contract"


@dataclasses.dataclass(frozen=True, slots=True)
class ContractEntry:
    """A contract in force.

    Attributes:
        contract: The contract; upstreams of evacuated failure domains drain.
        revision: Its revision in the platform.
        evacuated: The failure domains that are evacuated.
    """

    contract: contracts.Contract
    revision: ids.Revision
    evacuated: frozenset[ids.DomainId] = frozenset()


class ContractStore:
    """Holds the newest record of each service, deleted ones as tombstones.

    Attributes:
        changed: Announced at each record that is taken in, and as a failure
            domain is evacuated or taken back.
        freshness: Whether they may be acted on after a pause.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.changed = changes.ChangeSignal()
        self.freshness = freshness_parts.Freshness(clock)
        self._records: dict[ids.ServiceName, control.ContractRecord] = {}
        self._entries: dict[ids.ServiceName, ContractEntry] = {}
        # The same as they were read, whatever is evacuated.
        self._read: dict[ids.ServiceName, ContractEntry] = {}
        self._evacuated: frozenset[ids.DomainId] = frozenset()
        self._owners = address_owners.AddressOwners()
        self._quarantine = quarantines.Quarantine(clock)

    def offer(self, record: control.ContractRecord) -> bool:
        """Takes in a record if it is newer than what is known.

        Guards against reverting: a peer that was cut off, or a platform
        restored from a copy, offers an old revision after a new one was in
        force. Revisions of one key only grow, so older ones are refused.
        Of two bodies at one revision, which only a restored platform can
        give, the greater one counts, so that all hosts agree.

        Returns:
            True if it was taken in.

        Raises:
            ContractError: Its body is not a contract of this service; the
                former one stays in force.
        """
        known = self._records.get(record.service)
        if known is not None and known.version >= record.version:
            return False
        entry = _read(record)
        self._records[record.service] = record
        former = self._entries.get(record.service)
        if entry is None:
            self._read.pop(record.service, None)
            self._entries.pop(record.service, None)
        else:
            self._read[record.service] = entry
            self._entries[record.service] = _drain(entry, self._evacuated)
        self._assign_addresses(record.service, former, entry)
        self.changed.announce()
        return True

    def set_evacuated(self, domains: frozenset[ids.DomainId]) -> None:
        """Drains the upstreams of failure domains, and takes back others.

        Args:
            domains: All failure domains that are evacuated.
        """
        if domains == self._evacuated:
            return
        self._evacuated = domains
        self._entries = {
            service: _drain(entry, domains)
            for service, entry in self._read.items()
        }
        self.changed.announce()

    def get(self, service: ids.ServiceName) -> ContractEntry | None:
        """Returns the contract in force, None if there is none."""
        return self._entries.get(service)

    def entries(self) -> list[ContractEntry]:
        """Returns all contracts in force."""
        return list(self._entries.values())

    def get_record(
        self, service: ids.ServiceName
    ) -> control.ContractRecord | None:
        """Returns the record of a service, None if it was never known."""
        return self._records.get(service)

    def records(self) -> list[control.ContractRecord]:
        """Returns all records, tombstones included."""
        return list(self._records.values())

    def revisions(self) -> dict[str, int]:
        """Returns the revision of each service, tombstones included."""
        return {r.service: r.revision for r in self._records.values()}

    def owner_of(self, address: contracts.Address) -> ids.ServiceName | None:
        """Returns the service that an upstream address belongs to.

        Of several contracts that name the address, the one with the highest
        revision counts.
        """
        return self._owners.get(address)

    def may_give_work(
        self, service: ids.ServiceName, address: contracts.Address
    ) -> bool:
        """Tells whether work of a service may go to an upstream address.

        It may not if the address belongs to another service, if it left
        another one less than `quarantine.IN_FORCE_LIMIT_S` ago, or if this
        host stood still and has not asked since what is new.
        """
        if self._owners.get(address) != service:
            return False
        if self._quarantine.holds(address, service):
            return False
        return self.freshness.is_current()

    def may_send(
        self, service: ids.ServiceName, address: contracts.Address
    ) -> bool:
        """Tells whether a packet of work under way may go to an upstream.

        Work goes on to its end after the contract dropped the address, but
        not once it belongs to another service, nor right after a pause.
        """
        if self._owners.get(address) not in (None, service):
            return False
        return self.freshness.is_current()

    def _assign_addresses(
        self,
        service: ids.ServiceName,
        former: ContractEntry | None,
        entry: ContractEntry | None,
    ) -> None:
        left = _list_addresses(former)
        named = _list_addresses(entry)
        touched = {*left, *named}
        before = self._owners.select(touched)
        self._owners.drop(service, left)
        if entry is not None:
            self._owners.claim(service, entry.revision, named)
        self._quarantine.update(before, self._owners.select(touched))


def _drain(
    entry: ContractEntry, evacuated: frozenset[ids.DomainId]
) -> ContractEntry:
    """Returns an entry whose upstreams drain where domains are evacuated."""
    if not evacuated:
        return entry
    draining = contracts.UpstreamState.DRAINING
    upstreams = tuple(
        upstream.model_copy(update={"state": draining})
        if upstream.domain in evacuated
        else upstream
        for upstream in entry.contract.upstreams
    )
    contract = entry.contract.model_copy(update={"upstreams": upstreams})
    return ContractEntry(contract, entry.revision, evacuated)


def _list_addresses(entry: ContractEntry | None) -> list[contracts.Address]:
    if entry is None:
        return []
    return [upstream.address for upstream in entry.contract.upstreams]


def _read(record: control.ContractRecord) -> ContractEntry | None:
    if not record.body:
        return None
    try:
        contract = contracts.Contract.model_validate_json(record.body)
    except pydantic.ValidationError as error:
        raise errors.ContractError(
            config.describe(error), step=_STEP, peer=record.service
        ) from error
    if contract.service != record.service:
        raise errors.ContractError(
            f"is of service {contract.service!r}",
            step=_STEP,
            peer=record.service,
        )
    return ContractEntry(contract, record.revision)
