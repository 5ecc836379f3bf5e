"""The commands `status` and `explain`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Annotated

import typer

from persimmonhinge import errors
from persimmonhinge.contracts import version as versions
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import host_status
from persimmonhinge.ctl import options
from persimmonhinge.ctl import rollout as rollouts
from persimmonhinge.ctl import session as sessions
from persimmonhinge.membership import member as members


def show_status(context: typer.Context, output: options.Output = None) -> None:
    """Shows the platform, the hosts and how far each contract has come.

    It ends with 5 while a contract is not in force on a host that answers,
    or no host answers, and with 4 while the platform gives no answer.

    Example: persimmonhinge-ctl status --output json
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        found, problem = await _read_contracts(session)
        reports = await session.ask_hosts()
        newest, _ = await _read_contracts(session)
        progress = [
            rollouts.compute(_make_goal(version, newest), reports)
            for version in found
        ]
        _show_hosts(session, reports)
        _show_contracts(session, progress)
        session.printer.show_document(
            {
                "platform": {"good": not problem, "problem": problem or None},
                "hosts": [_to_document(report) for report in reports],
                "contracts": [rollout.to_document() for rollout in progress],
            }
        )
        if problem:
            session.printer.show_note(f"error: {problem}")
            return exits.ExitCode.UNAVAILABLE
        answering = any(report.status for report in reports)
        if answering and all(rollout.is_complete for rollout in progress):
            return exits.ExitCode.OK
        return exits.ExitCode.NOT_IN_FORCE

    sessions.run(context, output, work)


def explain_route(
    context: typer.Context,
    service: Annotated[
        str, typer.Option("--service", help="Name of the service.")
    ],
    caller: Annotated[
        str, typer.Option("--caller", help="Caller as address:port.")
    ],
    host: Annotated[
        str | None, typer.Option("--host", help="Ask only this host.")
    ] = None,
    output: options.Output = None,
) -> None:
    """Says where a caller's flow goes: home, upstreams, keepers, and why.

    All hosts are asked; those that name another home are shown, as happens
    for a moment while hosts join and leave.

    Example: persimmonhinge-ctl explain --service floor --caller 10.1.2.3:5683
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        reports = [
            report
            for report in await session.ask_hosts()
            if report.status and host in (None, report.name)
        ]
        answers = await _explain(session, reports, service, caller)
        first_host, first = answers[0]
        homes = {name: answer.home for name, answer in answers}
        others = {n: home for n, home in homes.items() if home != first.home}
        session.printer.show_document(
            {
                "service": service,
                "caller": caller,
                "asked": first_host,
                **first.model_dump(mode="json"),
                "homes_by_host": homes,
            }
        )
        _show_route(session, first_host, first, others)
        return exits.ExitCode.OK

    sessions.run(context, output, work)


async def _read_contracts(
    session: sessions.Session,
) -> tuple[list[versions.ContractVersion], str]:
    """Returns the contracts, or none and the problem of the platform."""
    try:
        return await session.contracts.list(), ""
    except errors.PlatformError as error:
        return [], str(error)


def _make_goal(
    version: versions.ContractVersion, newest: list[versions.ContractVersion]
) -> rollouts.Goal:
    service = version.contract.service
    revisions = (v.revision for v in newest if v.contract.service == service)
    return rollouts.Goal(
        service,
        version.revision,
        next(revisions, None),
        digest=version.digest,
    )


async def _explain(
    session: sessions.Session,
    reports: Sequence[host_client.HostReport],
    service: str,
    caller: str,
) -> list[tuple[str, host_status.RouteExplanation]]:
    if not reports:
        raise errors.PeerError("no host answers", step="explain route")
    answers = []
    for report in reports:
        assert report.target.url is not None
        answer = await session.hosts.explain(report.target.url, service, caller)
        if answer is not None:
            answers.append((report.name, answer))
    if not answers:
        raise errors.ContractError(
            "no host knows such a service", step="explain route", peer=service
        )
    return answers


def _show_route(
    session: sessions.Session,
    host: str,
    route: host_status.RouteExplanation,
    others: dict[str, str | None],
) -> None:
    printer = session.printer
    printer.show_text(f"as {host} sees it:")
    printer.show_text(f"home: {route.home} in {route.home_domain}")
    printer.show_text(f"then: {', '.join(route.ranked[1:]) or '-'}")
    printer.show_table(
        "Upstreams",
        ("upstream", "keeper", "why"),
        [(u.upstream, u.keeper, u.why) for u in route.upstreams],
    )
    for name, home in others.items():
        printer.show_text(f"{name} names another home: {home}")


def _show_hosts(
    session: sessions.Session, reports: Sequence[host_client.HostReport]
) -> None:
    columns = (
        *("host", "domain", "state", "ready", "members_alive"),
        *("key_revision", "problem"),
    )
    rows = [_to_document(report) for report in reports]
    session.printer.show_table(
        "Hosts", columns, [[row[c] for c in columns] for row in rows]
    )


def _show_contracts(
    session: sessions.Session, progress: Sequence[rollouts.Rollout]
) -> None:
    session.printer.show_table(
        "Contracts",
        ("service", "revision", *(state.value for state in rollouts.HoldState)),
        [
            (r.service, r.revision, *(r.count(s) for s in rollouts.HoldState))
            for r in progress
        ],
    )


def _to_document(report: host_client.HostReport) -> dict[str, object]:
    status = report.status
    told = status.members if status else ()
    alive = [m for m in told if m.state == members.MemberState.ALIVE.value]
    return {
        "host": report.name,
        "domain": report.domain,
        "state": status.state if status else None,
        "ready": status.ready if status else None,
        "members_alive": len(alive) if status else None,
        "key_revision": status.key_revision if status else None,
        "incarnation": status.incarnation if status else None,
        "url": report.target.url,
        "problem": report.problem or None,
    }
