"""One entry of the audit trail, and the head of the trail."""

from __future__ import annotations

import datetime
import enum
from typing import Any

import pydantic


class AuditAction(enum.Enum):
    """What an operator did."""

    APPLY_CONTRACT = "apply-contract"
    DELETE_CONTRACT = "delete-contract"
    DRAIN_UPSTREAM = "drain-upstream"
    UNDRAIN_UPSTREAM = "undrain-upstream"
    DRAIN_HOST = "drain-host"
    UNDRAIN_HOST = "undrain-host"
    EVACUATE_DOMAIN = "evacuate-domain"
    RESTORE_DOMAIN = "restore-domain"
    MAKE_KEY = "make-key"
    ADD_KEY = "add-key"
    PROMOTE_KEY = "promote-key"
    RETIRE_KEY = "retire-key"


class AuditEntry(pydantic.BaseModel):
    """A change: who, when, what, before and after.

    Attributes:
        sequence: Number of the change; changes are numbered without gaps.
        at: Wall clock of the operator, for people only: order follows from
            the number.
        operator: Who made it.
        request_id: Id of the operator's command.
        action: What was done.
        target: Name of the service, the host or the ring of keys.
        before: What stood there before, None for nothing.
        after: What stands there after, None for nothing.
        reason: What the operator said about it.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    sequence: int
    at: datetime.datetime
    operator: str
    request_id: str
    action: AuditAction
    target: str
    before: dict[str, Any] | None = None
    after: dict[str, Any] | None = None
    reason: str = ""


class AuditRecord(AuditEntry):
    """An entry as it stands in the trail.

    Attributes:
        revision: Revision of the platform's store that holds the change and
            the entry, as both are written in one transaction.
    """

    revision: int

    def describe(self) -> str:
        """Returns one line that says who did what."""
        when = self.at.strftime("%Y-%m-%d %H:%M:%SZ")
        return (
            f"revision {self.revision}: {self.action.value} {self.target} by "
            f"{self.operator} at {when} (request {self.request_id})"
        )


class AuditHead(pydantic.BaseModel):
    """Which entries the trail holds; it is written at each change.

    Attributes:
        newest: Number of the newest entry, 0 for none.
        oldest: Number of the oldest entry that is kept.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    newest: int = 0
    oldest: int = 1
