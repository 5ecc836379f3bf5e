"""The command `audit`."""

from __future__ import annotations

import dataclasses
import datetime
from typing import Annotated

import typer

from persimmonhinge.contracts import audit
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import diff
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions

_LAST = 50


@dataclasses.dataclass(frozen=True)
class AuditFilter:
    """Which entries are wanted; None wants all.

    Attributes:
        target: Name of the service or host.
        operator: Who made the change.
        action: What was done.
        request_id: Id of the operator's command.
        since: Earliest time, by the operators' clocks.
        until: Latest time, by the operators' clocks.
        last: Number of entries, the newest ones.
    """

    target: str | None
    operator: str | None
    action: audit.AuditAction | None
    request_id: str | None
    since: datetime.datetime | None
    until: datetime.datetime | None
    last: int

    def admits(self, record: audit.AuditRecord) -> bool:
        """Tells whether an entry is wanted."""
        pairs = (
            (self.target, record.target),
            (self.operator, record.operator),
            (self.action, record.action),
            (self.request_id, record.request_id),
        )
        if any(wanted not in (None, found) for wanted, found in pairs):
            return False
        if self.since is not None and record.at < _to_utc(self.since):
            return False
        return self.until is None or record.at <= _to_utc(self.until)

    async def select(
        self, trail: audit_trail.AuditTrail
    ) -> list[audit.AuditRecord]:
        """Returns the entries that are wanted, oldest first."""
        found: list[audit.AuditRecord] = []
        async for record in trail.read_backwards():
            if self.admits(record):
                found.append(record)
            if len(found) == self.last:
                break
        return found[::-1]


def show_audit(
    context: typer.Context,
    target: Annotated[
        str | None, typer.Option("--target", help="Service or host.")
    ] = None,
    operator: Annotated[
        str | None, typer.Option("--by", help="Who made the change.")
    ] = None,
    action: Annotated[
        audit.AuditAction | None, typer.Option("--action", help="What.")
    ] = None,
    request_id: Annotated[
        str | None, typer.Option("--request-id", help="Id of a command.")
    ] = None,
    since: Annotated[
        datetime.datetime | None, typer.Option("--since", help="UTC.")
    ] = None,
    until: Annotated[
        datetime.datetime | None, typer.Option("--until", help="UTC.")
    ] = None,
    last: Annotated[
        int, typer.Option("--last", min=1, help="Newest entries to show.")
    ] = _LAST,
    output: options.Output = None,
) -> None:
    """Shows who changed what: contracts, drains and ticket keys.

    Example: persimmonhinge-ctl audit --target floor --since 2026-05-01
    """
    wanted = AuditFilter(
        target, operator, action, request_id, since, until, last
    )

    async def work(session: sessions.Session) -> exits.ExitCode:
        records = await wanted.select(session.trail)
        documents = [record.model_dump(mode="json") for record in records]
        session.printer.show_document(documents)
        session.printer.show_table(
            "Audit trail",
            (
                *("sequence", "at", "operator", "action", "target"),
                *("revision", "request", "changes", "reason"),
            ),
            [_to_row(record) for record in records],
        )
        return exits.ExitCode.OK

    sessions.run(context, output, work)


def _to_row(record: audit.AuditRecord) -> tuple[object, ...]:
    return (
        record.sequence,
        record.at.strftime("%Y-%m-%d %H:%M:%S"),
        record.operator,
        record.action.value,
        record.target,
        record.revision,
        record.request_id,
        "\n".join(diff.describe(record.before, record.after)),
        record.reason,
    )


def _to_utc(time: datetime.datetime) -> datetime.datetime:
    return time if time.tzinfo else time.replace(tzinfo=datetime.UTC)
