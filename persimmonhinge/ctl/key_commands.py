"""The commands `keys ...`: ticket keys, whose secrets are never shown."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import outcome
from persimmonhinge.contracts import ring_changes
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions
from persimmonhinge.ctl import waiting
from persimmonhinge.keys import repository
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation

program = typer.Typer(
    help="Ticket keys; their secrets are never shown.", no_args_is_help=True
)
Without = Annotated[
    list[str] | None,
    typer.Option(
        "--without",
        help="Host that gives no answer and need not know, as it is gone.",
    ),
]
_ROTATE_WAIT_S = 15.0
# Steps after which the newest key mints.
_MINTS = (audit.AuditAction.MAKE_KEY, audit.AuditAction.PROMOTE_KEY)


@program.command("list")
def show_all(context: typer.Context, output: options.Output = None) -> None:
    """Lists the keys by id and state, and which hosts hold them.

    Example: persimmonhinge-ctl keys list
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        stored = await session.ring.read()
        reports = await session.ask_hosts()
        shown = ring_changes.describe_ring(stored.ring)["keys"]
        held = {
            report.name: report.status.key_revision if report.status else None
            for report in reports
        }
        session.printer.show_document(
            {"revision": stored.revision, "keys": shown, "held": held}
        )
        session.printer.show_table(
            f"Ticket keys at revision {stored.revision}",
            ("id", "state"),
            [(key["id"], key["state"]) for key in shown],
        )
        session.printer.show_table("Held", ("host", "revision"), held.items())
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("rotate")
def rotate(
    context: typer.Context,
    wait: Annotated[
        float,
        typer.Option("--wait", min=0, help="Seconds to wait for all hosts."),
    ] = _ROTATE_WAIT_S,
    without: Without = None,
    reason: options.Reason = "",
    output: options.Output = None,
) -> None:
    """Makes a new key, waits until all hosts know it, and lets it mint.

    The first key of a deployment mints at once. If a host does not know the
    new key in time it ends with 5; the same command then goes on from there.

    Example: persimmonhinge-ctl keys rotate --wait 30
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        records = await _rotate(session, wait, without or [], reason)
        _show(session, records)
        if any(record.action in _MINTS for record in records):
            return exits.ExitCode.OK
        return exits.ExitCode.NOT_IN_FORCE

    sessions.run(context, output, work)


@program.command("retire")
def retire(
    context: typer.Context,
    without: Without = None,
    reason: options.Reason = "",
    output: options.Output = None,
) -> None:
    """Removes former keys, once all tickets that they minted have expired.

    Example: persimmonhinge-ctl keys retire
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        hosts = _collect(await session.ask_hosts(), without or [])
        life_s = session.settings.ticket_life_s
        record = await _change(
            session,
            audit.AuditAction.RETIRE_KEY,
            reason,
            lambda found: rotation.retire(
                found.ring, found.revision, hosts, life_s
            ),
        )
        _show(session, [record])
        return exits.ExitCode.OK

    sessions.run(context, output, work)


async def _rotate(
    session: sessions.Session, wait_s: float, without: list[str], reason: str
) -> list[audit.AuditRecord]:
    """Takes the steps of a rotation that are left; returns them."""
    stored = await session.ring.read()
    if not stored.ring.keys:
        return [
            await _change(
                session,
                audit.AuditAction.MAKE_KEY,
                reason,
                lambda found: _make_first(found.ring),
            )
        ]
    records = []
    if not _has(stored.ring, rings.KeyState.NEXT):
        added = await _change(
            session,
            audit.AuditAction.ADD_KEY,
            reason,
            lambda found: rotation.add_next(found.ring),
        )
        records.append(added)
    hosts = await _wait_known(session, wait_s, without)
    if hosts is not None:
        promoted = await _change(
            session,
            audit.AuditAction.PROMOTE_KEY,
            reason,
            lambda found: rotation.promote(found.ring, found.revision, hosts),
        )
        records.append(promoted)
    return records


async def _change(
    session: sessions.Session,
    action: audit.AuditAction,
    reason: str,
    step: ring_changes.Step,
) -> audit.AuditRecord:
    request = session.make_request(None, reason)
    try:
        return await session.ring.change(action, request, step)
    except outcome.OutcomeUnknownError:
        session.printer.show_note(
            "note: `keys list` shows how the ring stands; the same command "
            "goes on from there"
        )
        raise


def _show(session: sessions.Session, records: list[audit.AuditRecord]) -> None:
    for record in records:
        changes.show_record(
            session, record.action.value, record.revision, record
        )
    session.printer.show_document(
        [
            {"revision": record.revision, **changes.to_document(record)}
            for record in records
        ]
    )


async def _wait_known(
    session: sessions.Session, wait_s: float, without: list[str]
) -> rotation.HostReports | None:
    """Waits until all hosts hold the ring; None if one does not in time."""
    stored = await session.ring.read()
    reports = await waiting.poll_hosts(
        session,
        wait_s,
        lambda answers: _knows(stored, _collect(answers, without)),
    )
    hosts = _collect(reports, without)
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


def _collect(
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
