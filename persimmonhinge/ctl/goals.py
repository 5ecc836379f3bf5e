"""Finds what hosts should hold of a contract."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.ctl import rollout as rollouts
from persimmonhinge.ctl import session as sessions


async def find_goal(
    session: sessions.Session, service: ids.ServiceName
) -> rollouts.Goal:
    """Returns the newest revision of a contract, or its delete.

    Raises:
        ContractError: There never was such a contract, as far as the audit
            trail goes back.
        PlatformError: The platform failed.
    """
    try:
        version = await session.contracts.get(service)
        return rollouts.Goal(service, version.revision)
    except errors.ContractError:
        async for record in session.trail.read_backwards():
            deletes = record.action is audit.AuditAction.DELETE_CONTRACT
            if deletes and record.target == service:
                return rollouts.Goal(service, record.revision, is_deleted=True)
        raise


async def find_newest(
    session: sessions.Session, service: ids.ServiceName
) -> int:
    """Returns the newest revision of a contract in the platform, 0 for none.

    Raises:
        PlatformError: The platform failed.
    """
    try:
        return (await find_goal(session, service)).revision
    except errors.ContractError:
        return 0
