"""Writes steps of the rotation of ticket keys, with an audit entry each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from persimmonhinge.contracts import audit
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import plan as plans
from persimmonhinge.contracts import request as requests
from persimmonhinge.keys import repository
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation
from persimmonhinge.store import keys
from persimmonhinge.store import port

TARGET = "ticket-keys"
Step = Callable[[repository.StoredRing], rings.KeyRing]


class RingChanges:
    """Changes the ring by compare-and-swap."""

    def __init__(
        self,
        platform: port.Platform,
        prefix: str,
        writer: change_writer.ChangeWriter,
    ) -> None:
        self._key = prefix + keys.TICKET_KEYS
        self._repository = repository.KeyRepository(platform, prefix)
        self._writer = writer

    async def read(self) -> repository.StoredRing:
        """Returns the ring as it stands.

        Raises:
            KeyRingError: The value is not a ring.
            PlatformError: The platform failed.
        """
        return await self._repository.read()

    async def change(
        self,
        action: audit.AuditAction,
        request: requests.ChangeRequest,
        step: Step,
    ) -> audit.AuditRecord:
        """Takes one step.

        Args:
            action: What the step does, for the audit trail.
            request: Who asks.
            step: Returns the ring that follows from the one that stands
                there; it raises if it is not allowed.

        Raises:
            KeyRingError: The step is not allowed.
            PlatformError: See `ChangeWriter.run`.
        """

        async def make_plan() -> plans.Plan:
            stored = await self._repository.read()
            ring = step(stored)
            return plans.Plan(
                action=action,
                target=TARGET,
                before=describe_ring(stored.ring),
                after=describe_ring(ring),
                compares=(port.Compare(self._key, stored.revision),),
                writes=(port.Write(self._key, rotation.write_body(ring)),),
            )

        record = await self._writer.run_checked(
            request, action, TARGET, make_plan
        )
        assert record is not None
        return record


def describe_ring(ring: rings.KeyRing) -> dict[str, Any]:
    """Returns what may be shown of a ring: ids and states, no secret."""
    return {
        "keys": [
            {"id": key.key_id, "state": key.state.value} for key in ring.keys
        ]
    }
