"""Reports what became of a change."""

from __future__ import annotations

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
