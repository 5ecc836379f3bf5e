"""The commands `keys ...`: ticket keys, whose secrets are never shown."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge.contracts import audit
from persimmonhinge.contracts import ring_changes
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import key_rotation
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions
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
        records = await key_rotation.rotate(
            session, wait, without or [], reason
        )
        _show(session, records)
        if any(record.action in key_rotation.MINTS for record in records):
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
        hosts = key_rotation.collect_hosts(
            await session.ask_hosts(), without or []
        )
        life_s = session.settings.ticket_life_s
        record = await key_rotation.change(
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
