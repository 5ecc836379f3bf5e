"""Reports what became of a change."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from persimmonhinge import errors
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import diff
from persimmonhinge.contracts import repository
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import rollout as rollouts
from persimmonhinge.ctl import session as sessions
from persimmonhinge.ctl import waiting


async def report(
    session: sessions.Session,
    result: repository.ChangeResult,
    wait_s: float | None,
) -> exits.ExitCode:
    """Writes the result of a change to a contract.

    Args:
        session: The command.
        result: What became of the change.
        wait_s: How long to wait until it is in force, seconds; None to
            return at once.

    Returns:
        OK, or NOT_IN_FORCE after a wait that was too short.
    """
    service = result.service
    show_record(session, service, result.revision, result.record)
    rollout = None
    if wait_s is not None:
        rollout = await _wait(session, result, wait_s)
    session.printer.show_document(
        {
            "service": service,
            "revision": result.revision,
            **to_document(result.record),
            "rollout": rollout.to_document() if rollout else None,
        }
    )
    if wait_s is None:
        return exits.ExitCode.OK
    _note_missing(session, rollout)
    if rollout is not None and rollout.is_complete:
        return exits.ExitCode.OK
    return exits.ExitCode.NOT_IN_FORCE


@dataclasses.dataclass(frozen=True, slots=True)
class DrainSubject:
    """What an operator drains or takes back.

    Attributes:
        kind: What it is, as the document names it.
        name: Its name.
        missing: What is told if hosts do not show the change in time.
    """

    kind: str
    name: str
    missing: str


async def report_drain(
    session: sessions.Session,
    subject: DrainSubject,
    record: audit.AuditRecord | None,
    wait_s: float | None,
    is_shown: Callable[[waiting.Reports], bool],
) -> exits.ExitCode:
    """Writes the result of a drain, or of one that was taken back.

    Args:
        session: The command.
        subject: What was drained.
        record: The change; None if there was nothing to do.
        wait_s: How long to wait until hosts show it, seconds; None to return
            at once.
        is_shown: Tells whether hosts show it.

    Returns:
        OK, or NOT_IN_FORCE after a wait that was too short.
    """
    revision = record.revision if record else 0
    show_record(session, subject.name, revision, record)
    shows = None
    if wait_s is not None:
        shows = await _wait_shown(session, wait_s, is_shown)
    session.printer.show_document(
        {
            subject.kind: subject.name,
            **to_document(record),
            "in_force": shows,
        }
    )
    if shows is False:
        session.printer.show_note(f"error: {subject.missing}")
        return exits.ExitCode.NOT_IN_FORCE
    return exits.ExitCode.OK


async def _wait_shown(
    session: sessions.Session,
    wait_s: float,
    is_shown: Callable[[waiting.Reports], bool],
) -> bool:
    """Waits until hosts show a change; False if they do not."""
    try:
        return is_shown(await waiting.poll_hosts(session, wait_s, is_shown))
    except errors.PlatformError as error:
        # The change is made: an outage now must not look like one before it.
        session.printer.show_note(f"error: {error}")
        return False


def to_document(record: audit.AuditRecord | None) -> dict[str, object]:
    """Returns what was changed, as JSON."""
    if record is None:
        return {"changed": False}
    return {
        "changed": True,
        "request_id": record.request_id,
        "operator": record.operator,
        "action": record.action.value,
        "differences": diff.describe(record.before, record.after),
    }


def show_record(
    session: sessions.Session,
    name: str,
    revision: int,
    record: audit.AuditRecord | None,
) -> None:
    """Writes what was changed, for people."""
    if record is None:
        session.printer.show_text(f"{name}: nothing to do, as it stands so")
        return
    session.printer.show_text(
        f"{name}: revision {revision}, request {record.request_id}"
    )
    for line in diff.describe(record.before, record.after):
        session.printer.show_text(f"  {line}")


async def _wait(
    session: sessions.Session, result: repository.ChangeResult, wait_s: float
) -> rollouts.Rollout | None:
    """Waits until a change is in force; None if that can't be found out.

    Guards against an outage after the change that is reported as "nothing
    changed", as an outage before it is.
    """
    goal = rollouts.Goal(
        result.service, result.revision, is_deleted=result.is_delete
    )
    try:
        rollout = await waiting.wait_in_force(session, goal, wait_s)
    except errors.PlatformError as error:
        session.printer.show_note(f"error: {error}")
        return None
    waiting.show_rollout(session, rollout)
    return rollout


def _note_missing(
    session: sessions.Session, rollout: rollouts.Rollout | None
) -> None:
    if rollout is None:
        session.printer.show_note(
            "error: the change is made; how far it has come can't be found out"
        )
        return
    silent = rollout.count(rollouts.HoldState.NO_ANSWER)
    if silent:
        session.printer.show_note(
            f"warning: {silent} hosts gave no answer; what they hold is "
            "not known"
        )
    if not rollout.is_complete:
        session.printer.show_note(
            f"error: not yet in force everywhere: {rollout.describe()}"
        )
