"""A change that is about to be written, with its audit entry."""

from __future__ import annotations

import dataclasses
from typing import Any

from persimmonhinge.contracts import audit
from persimmonhinge.store import port


@dataclasses.dataclass(frozen=True)
class Plan:
    """What to write, and under which conditions.

    Attributes:
        action: What is done, for the audit trail.
        target: Name of what it is done to.
        before: What stands there now.
        after: What will stand there.
        compares: Conditions of the transaction.
        writes: Writes of the transaction.
    """

    action: audit.AuditAction
    target: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None
    compares: tuple[port.Compare, ...]
    writes: tuple[port.Write, ...]
