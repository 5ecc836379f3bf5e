"""The steps of a rotation of ticket keys, in their order."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import outcome
from persimmonhinge.contracts import ring_changes
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import session as sessions
from persimmonhinge.ctl import waiting
from persimmonhinge.keys import repository
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation

# Steps after which the newest key mints.
MINTS = (audit.AuditAction.MAKE_KEY, audit.AuditAction.PROMOTE_KEY)


async def rotate(
    session: sessions.Session, wait_s: float, without: list[str], reason: str
) -> list[audit.AuditRecord]:
    """Takes the steps of a rotation that are left; returns them.

    Raises:
        KeyRingError: A step is not allowed.
        PlatformError: The platform failed before the first step.
    """
    stored = await session.ring.read()
    if not stored.ring.keys:
        return [
            await change(
                session,
                audit.AuditAction.MAKE_KEY,
                reason,
                lambda found: _make_first(found.ring),
            )
        ]
    records = []
    if not _has(stored.ring, rings.KeyState.NEXT):
        added = await change(
            session,
            audit.AuditAction.ADD_KEY,
            reason,
            lambda found: rotation.add_next(found.ring),
        )
        records.append(added)
    try:
        hosts = await _wait_known(session, wait_s, without)
    except errors.PlatformError as error:
        # A key was made: an outage now must not look like one before it.
        session.printer.show_note(f"error: {error}")
        hosts = None
    if hosts is not None:
        promoted = await change(
            session,
            audit.AuditAction.PROMOTE_KEY,
            reason,
            lambda found: rotation.promote(found.ring, found.revision, hosts),
        )
        records.append(promoted)
    return records


async def change(
    session: sessions.Session,
    action: audit.AuditAction,
    reason: str,
    step: ring_changes.Step,
) -> audit.AuditRecord:
    """Takes one step.

    Raises:
        KeyRingError: The step is not allowed.
        PlatformError: See `ChangeWriter.run`.
    """
    request = session.make_request(None, reason)
    try:
        return await session.ring.change(action, request, step)
    except outcome.OutcomeUnknownError:
        session.printer.show_note(
            "note: `keys list` shows how the ring stands; the same command "
            "goes on from there"
        )
        raise


async def _wait_known(
    session: sessions.Session, wait_s: float, without: list[str]
) -> rotation.HostReports | None:
    """Waits until all hosts hold the ring; None if one does not in time."""
    stored = await session.ring.read()
    reports = await waiting.poll_hosts(
        session,
        wait_s,
        lambda answers: _knows(stored, collect_hosts(answers, without)),
    )
    hosts = collect_hosts(reports, without)
    if _knows(stored, hosts):
        return hosts
    missing = [
        host
        for host, known in hosts.items()
        if known is None or known.revision < stored.revision
    ]
    session.printer.show_note(
        "error: the new key mints nothing yet, as not all hosts are known to "
        f"hold it: {', '.join(missing) or 'no host answers'}"
    )
    return None


def collect_hosts(
    reports: list[host_client.HostReport], without: list[str]
) -> dict[ids.HostId, rotation.HostKeys | None]:
    """Returns what each host tells that is expected to answer.

    A host that its peers believe dead is expected too, unless the operator
    names it: it may be cut off, and serve callers all the same.
    """
    hosts: dict[ids.HostId, rotation.HostKeys | None] = {}
    for report in reports:
        if report.name in without:
            continue
        if report.status is not None:
            hosts[ids.HostId(report.name)] = rotation.HostKeys(
                ids.Revision(report.status.key_revision),
                report.status.key_age_s or 0.0,
            )
        elif report.is_expected:
            hosts[ids.HostId(report.name)] = None
    return hosts


def _knows(stored: repository.StoredRing, hosts: rotation.HostReports) -> bool:
    return bool(hosts) and all(
        known is not None and known.revision >= stored.revision
        for known in hosts.values()
    )


def _make_first(ring: rings.KeyRing) -> rings.KeyRing:
    if ring.keys:
        raise errors.ConflictError(
            "another operator made the first key", step="rotate ticket keys"
        )
    return rotation.make_ring()


def _has(ring: rings.KeyRing, state: rings.KeyState) -> bool:
    return any(key.state is state for key in ring.keys)
