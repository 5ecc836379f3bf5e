"""A contract as it is written to the platform."""

from __future__ import annotations

import pydantic

from persimmonhinge.contracts import contract as contracts


class StoredContract(pydantic.BaseModel):
    """The value of a contract's key.

    Attributes:
        contract: The contract.
        request_id: Id that the operator's command chose, by which a write
            whose answer was lost is found again.
        operator: Who wrote it.
        written_at: Wall clock of the operator, ISO 8601, for people only.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    contract: contracts.Contract
    request_id: str
    operator: str
    written_at: str
