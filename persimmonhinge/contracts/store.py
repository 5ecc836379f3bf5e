"""The contracts that a host knows; they only ever move forward."""

from __future__ import annotations

import dataclasses
import logging

from persimmonhinge import changes
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.peers.messages import control

logger = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ContractEntry:
    """A contract in force.

    Attributes:
        contract: The contract.
        revision: Its revision in the platform.
    """

    contract: contracts.Contract
    revision: ids.Revision


class ContractStore:
    """Holds the newest record of each service, deleted ones as tombstones.

    Attributes:
        changed: Announced at each record that is taken in.
    """

    def __init__(self) -> None:
        self.changed = changes.ChangeSignal()
        self._records: dict[ids.ServiceName, control.ContractRecord] = {}
        self._entries: dict[ids.ServiceName, ContractEntry] = {}

    def offer(self, record: control.ContractRecord) -> bool:
        """Takes in a record if it is newer than what is known.

        Guards against reverting: a peer that was cut off, or a platform
        restored from a copy, offers an old revision after a new one was in
        force. Revisions of one key only grow, so older ones are refused.

        Returns:
            True if it was taken in.

        Raises:
            pydantic.ValidationError: Its body is not a contract; the former
                one stays in force.
        """
        known = self._records.get(record.service)
        if known is not None and known.revision >= record.revision:
            return False
        entry = None
        if record.body:
            contract = contracts.Contract.model_validate_json(record.body)
            entry = ContractEntry(contract, record.revision)
        self._records[record.service] = record
        if entry is None:
            self._entries.pop(record.service, None)
        else:
            self._entries[record.service] = entry
        self.changed.announce()
        return True

    def get(self, service: ids.ServiceName) -> ContractEntry | None:
        """Returns the contract in force, None if there is none."""
        return self._entries.get(service)

    def entries(self) -> list[ContractEntry]:
        """Returns all contracts in force."""
        return list(self._entries.values())

    def records(self) -> list[control.ContractRecord]:
        """Returns all records, tombstones included."""
        return list(self._records.values())

    def revisions(self) -> dict[str, int]:
        """Returns the revision of each service, tombstones included."""
        return {r.service: r.revision for r in self._records.values()}
