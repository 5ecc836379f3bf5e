"""Finds what hosts should hold of a contract."""

from __future__ import annotations

import dataclasses

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
        return rollouts.Goal(service, version.revision, digest=version.digest)
    except errors.ContractError:
        async for record in session.trail.read_backwards():
            deletes = record.action is audit.AuditAction.DELETE_CONTRACT
            if deletes and record.target == service:
                return rollouts.Goal(service, record.revision, is_deleted=True)
        raise


async def add_newest(
    session: sessions.Session, goal: rollouts.Goal
) -> rollouts.Goal:
    """Returns a goal with what the platform now has of the contract.

    Raises:
        PlatformError: The platform failed.
    """
    try:
        found = await find_goal(session, ids.ServiceName(goal.service))
    except errors.ContractError:
        return dataclasses.replace(goal, newest=0)
    digest = found.digest if found.revision == goal.revision else ""
    return dataclasses.replace(goal, newest=found.revision, digest=digest)
