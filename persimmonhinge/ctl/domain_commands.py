"""The commands `domain ...`."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions

program = typer.Typer(
    help="Failure domains, with the upstreams in them.", no_args_is_help=True
)
Domain = Annotated[str, typer.Argument(help="Name of the failure domain.")]
DomainWait = Annotated[
    float | None,
    typer.Option(
        "--wait", min=0, help="Seconds to wait until all hosts show it."
    ),
]
_COLUMNS = (
    *("domain", "upstreams", "evacuated", "operator", "written_at", "reason"),
    *("hosts_that_know", "hosts_asked"),
)


@program.command("list")
def show_all(context: typer.Context, output: options.Output = None) -> None:
    """Lists the failure domains of contracts, and those that are evacuated.

    Example: persimmonhinge-ctl domain list
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        evacuated = await session.drains.list_evacuated()
        upstreams = await _count_upstreams(session)
        reports = await session.ask_hosts()
        rows = []
        for domain in sorted({*evacuated, *upstreams}):
            drain = evacuated.get(domain)
            rows.append(
                {
                    "domain": domain,
                    "upstreams": upstreams.get(domain, 0),
                    "evacuated": drain is not None,
                    "operator": drain.operator if drain else None,
                    "written_at": drain.written_at if drain else None,
                    "reason": drain.reason if drain else None,
                    **_count_knowing(reports, domain, drain is not None),
                }
            )
        session.printer.show_list("Failure domains", _COLUMNS, rows)
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("evacuate")
def evacuate(
    context: typer.Context,
    domain: Domain,
    wait: DomainWait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Gives the upstreams of a failure domain no new work; feeds move away.

    Example: persimmonhinge-ctl domain evacuate north --reason "power works"
    """
    _set(context, (domain, True), wait, reason, request_id, output)


@program.command("restore")
def restore(
    context: typer.Context,
    domain: Domain,
    wait: DomainWait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Takes an evacuated failure domain back into work.

    Example: persimmonhinge-ctl domain restore north
    """
    _set(context, (domain, False), wait, reason, request_id, output)


def _set(
    context: typer.Context,
    wanted: tuple[str, bool],
    wait: float | None,
    reason: str,
    request_id: str | None,
    output: options.Output,
) -> None:
    name, evacuated = wanted
    domain = ids.DomainId(name)

    async def work(session: sessions.Session) -> exits.ExitCode:
        drains = session.drains
        await _check_known(session, domain)
        change = drains.evacuate if evacuated else drains.restore
        request = session.make_request(request_id, reason)
        record = await change(domain, request)
        return await changes.report_drain(
            session,
            changes.DrainSubject(
                "domain", name, f"not all hosts know this of {name}"
            ),
            record,
            wait,
            lambda reports: _is_known(reports, domain, evacuated),
        )

    sessions.run(context, output, work)


async def _check_known(session: sessions.Session, domain: ids.DomainId) -> None:
    """Refuses a failure domain that nothing names, most likely mistyped.

    Raises:
        ContractError: No contract and no evacuation names it.
        PlatformError: The platform failed.
    """
    known = {
        *await _count_upstreams(session),
        *await session.drains.list_evacuated(),
    }
    if domain not in known:
        names = ", ".join(sorted(known)) or "none"
        raise errors.ContractError(
            f"no contract names this failure domain; known: {names}",
            step="evacuate domain",
            peer=domain,
        )


async def _count_upstreams(
    session: sessions.Session,
) -> dict[ids.DomainId, int]:
    counted: dict[ids.DomainId, int] = {}
    for version in await session.contracts.list():
        for upstream in version.contract.upstreams:
            domain = ids.DomainId(upstream.domain)
            counted[domain] = counted.get(domain, 0) + 1
    return counted


def _is_known(
    reports: list[host_client.HostReport], domain: str, evacuated: bool
) -> bool:
    """Tells whether all hosts that answer know of a change, one at least."""
    counts = _count_knowing(reports, domain, evacuated)
    return 0 < counts["hosts_asked"] == counts["hosts_that_know"]


def _count_knowing(
    reports: list[host_client.HostReport],
    domain: str,
    evacuated: bool,
) -> dict[str, int]:
    """Returns how many hosts answered, and how many of them know a change."""
    known = [
        (domain in report.status.control.evacuated) is evacuated
        for report in reports
        if report.status is not None
    ]
    return {"hosts_that_know": sum(known), "hosts_asked": len(known)}
