"""The commands `host ...`."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge import ids
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions
from persimmonhinge.membership import member as members

_State = members.MemberState
program = typer.Typer(help="Entry hosts of the system.", no_args_is_help=True)
HostWait = Annotated[
    float | None,
    typer.Option(
        "--wait", min=0, help="Seconds to wait until the host shows it."
    ),
]


@program.command("list")
def show_all(context: typer.Context, output: options.Output = None) -> None:
    """Lists hosts: what the platform's list and they themselves say.

    Example: persimmonhinge-ctl host list
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        reports = await session.ask_hosts()
        drains = await session.drains.list()
        rows = [
            _to_document(report, report.name in drains, reports)
            for report in reports
        ]
        session.printer.show_list("Hosts", _COLUMNS, rows)
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("drain")
def drain(
    context: typer.Context,
    host: options.Host,
    wait: HostWait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Asks a host to leave: it hands its flows over and takes no new ones.

    Example: persimmonhinge-ctl host drain entry-2 --reason "new kernel"
    """
    _set_state(
        context, (host, _State.LEAVING), wait, reason, request_id, output
    )


@program.command("undrain")
def undrain(
    context: typer.Context,
    host: options.Host,
    wait: HostWait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Takes a host back that was asked to leave.

    Example: persimmonhinge-ctl host undrain entry-2
    """
    _set_state(context, (host, _State.ALIVE), wait, reason, request_id, output)


def _set_state(
    context: typer.Context,
    wanted: tuple[str, members.MemberState],
    wait: float | None,
    reason: str,
    request_id: str | None,
    output: options.Output,
) -> None:
    host, state = wanted

    async def work(session: sessions.Session) -> exits.ExitCode:
        drains = session.drains
        change = drains.drain if state is _State.LEAVING else drains.undrain
        record = await change(
            ids.HostId(host), session.make_request(request_id, reason)
        )
        return await changes.report_drain(
            session,
            changes.DrainSubject(
                "host", host, f"{host} is not {state.value} yet"
            ),
            record,
            wait,
            lambda reports: _shows(reports, host, state.value),
        )

    sessions.run(context, output, work)


def _shows(
    reports: list[host_client.HostReport], host: str, wanted: str
) -> bool:
    return any(
        report.status is not None
        and report.name == host
        and report.status.state == wanted
        for report in reports
    )


_COLUMNS = (
    *("host", "domain", "listed", "state", "ready", "drained"),
    *("incarnation", "seen_alive_by", "asked", "problem"),
)


def _to_document(
    report: host_client.HostReport,
    is_drained: bool,
    reports: list[host_client.HostReport],
) -> dict[str, object]:
    listed = report.target.listed
    status = report.status
    others = [r.status for r in reports if r.status and r is not report]
    seen = sum(
        member.host == report.name and member.state == _State.ALIVE.value
        for other in others
        for member in other.members
    )
    return {
        "host": report.name,
        "domain": report.domain,
        "listed": listed.state if listed else None,
        "state": status.state if status else None,
        "ready": status.ready if status else None,
        "drained": is_drained,
        "incarnation": status.incarnation if status else None,
        "seen_alive_by": seen,
        "asked": len(others),
        "problem": report.problem or None,
    }
