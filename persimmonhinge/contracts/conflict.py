"""Says what came between an operator's change and the contract it is for."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import diff
from persimmonhinge.contracts import version as versions

# Changes told in one text, the newest ones.
_MOST_CHANGES = 5
# Entries of the audit trail searched for them.
_MOST_ENTRIES = 300


async def explain(
    trail: audit_trail.AuditTrail,
    service: ids.ServiceName,
    current: versions.ContractVersion | None,
    base: ids.Revision | None,
) -> errors.ConflictError:
    """Returns an error that says what changed since a base and who did it.

    Args:
        trail: The audit trail.
        service: Name of the service.
        current: The contract as it stands; None if there is none.
        base: Revision that the operator's change was made from; None if the
            operator named none.
    """
    if current is None:
        head = f"there is no contract; you changed revision {base}"
    elif base is None:
        head = (
            f"exists at {current.describe()}; change it from what "
            "`contract get` writes, or name its revision with --base, or "
            "replace it with --replace"
        )
    else:
        head = f"is at {current.describe()}; you changed revision {base}"
    lines = [head]
    if base is not None:
        changes = await _find_changes(trail, service, base)
        lines += [_describe(record) for record in changes]
    return errors.ConflictError(
        "\n  ".join(lines), step="change contract", peer=service
    )


async def _find_changes(
    trail: audit_trail.AuditTrail, service: ids.ServiceName, base: ids.Revision
) -> list[audit.AuditRecord]:
    """Returns changes of a service since a revision, newest first."""
    found: list[audit.AuditRecord] = []
    searched = 0
    async for record in trail.read_backwards():
        searched += 1
        if record.revision <= base or searched > _MOST_ENTRIES:
            break
        if record.target == service and len(found) < _MOST_CHANGES:
            found.append(record)
    return found


def _describe(record: audit.AuditRecord) -> str:
    changes = diff.describe(record.before, record.after)
    return f"{record.describe()}: {'; '.join(changes)}"
