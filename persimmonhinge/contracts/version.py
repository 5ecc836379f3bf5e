"""A contract at one revision, as operators see it."""

from __future__ import annotations

import dataclasses
from typing import Any

import pydantic

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import body_digest
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import reading
from persimmonhinge.contracts import stored as stored_contracts
from persimmonhinge.store import port


@dataclasses.dataclass(frozen=True)
class ContractVersion:
    """A contract as it stands in the platform.

    Attributes:
        stored: The contract, and who wrote it.
        revision: Its revision.
        digest: Hash of the contract as it was written.
    """

    stored: stored_contracts.StoredContract
    revision: ids.Revision
    digest: str

    @property
    def contract(self) -> contracts.Contract:
        """The contract."""
        return self.stored.contract

    def describe(self) -> str:
        """Returns one line that says who wrote it."""
        return (
            f"revision {self.revision}, written by {self.stored.operator} at "
            f"{self.stored.written_at} (request {self.stored.request_id})"
        )


def read_version(pair: port.KeyValue) -> ContractVersion:
    """Reads the value of a contract's key.

    Raises:
        ContractError: It is not a stored contract.
    """
    try:
        stored = stored_contracts.StoredContract.model_validate_json(pair.value)
    except pydantic.ValidationError as error:
        raise errors.ContractError(
            config.describe(error), step="read stored contract", peer=pair.key
        ) from error
    body = reading.read_contract(pair.key, pair.value)
    return ContractVersion(
        stored,
        ids.Revision(pair.mod_revision),
        body_digest.compute_digest(body),
    )


def to_document(contract: contracts.Contract) -> dict[str, Any]:
    """Returns a contract as JSON."""
    return contract.model_dump(mode="json")
