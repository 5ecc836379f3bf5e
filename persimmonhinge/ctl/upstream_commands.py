"""The commands `upstream ...`."""

from __future__ import annotations

from typing import Annotated

import typer

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import version as versions
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import host_status
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions

program = typer.Typer(
    help="Upstreams: the targets of services.", no_args_is_help=True
)
_Statuses = dict[tuple[str, str], host_status.UpstreamStatus]


@program.command("list")
def show_all(
    context: typer.Context,
    service: Annotated[
        str | None, typer.Option("--service", help="Only of this service.")
    ] = None,
    output: options.Output = None,
) -> None:
    """Lists upstreams with what their keepers report.

    Example: persimmonhinge-ctl upstream list --service floor
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        found = await session.contracts.list()
        if service is not None:
            found = [v for v in found if v.contract.service == service]
            if not found:
                raise errors.ContractError(
                    "there is no such contract",
                    step="list upstreams",
                    peer=service,
                )
        statuses = _collect(await session.ask_hosts())
        rows = [
            _to_document(version, upstream, statuses)
            for version in found
            for upstream in version.contract.upstreams
        ]
        session.printer.show_list("Upstreams", _COLUMNS, rows)
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("drain")
def drain(
    context: typer.Context,
    service: options.Service,
    upstream: options.Upstream,
    wait: options.Wait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Gives an upstream no new work and moves its feeds away.

    Example: persimmonhinge-ctl upstream drain floor floor-3 --wait 10
    """
    _set_state(
        context,
        (service, upstream, contracts.UpstreamState.DRAINING),
        wait,
        reason,
        request_id,
        output,
    )


@program.command("undrain")
def undrain(
    context: typer.Context,
    service: options.Service,
    upstream: options.Upstream,
    wait: options.Wait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Takes an upstream back into work.

    Example: persimmonhinge-ctl upstream undrain floor floor-3
    """
    _set_state(
        context,
        (service, upstream, contracts.UpstreamState.ACTIVE),
        wait,
        reason,
        request_id,
        output,
    )


def _set_state(
    context: typer.Context,
    wanted: tuple[str, str, contracts.UpstreamState],
    wait: float | None,
    reason: str,
    request_id: str | None,
    output: options.Output,
) -> None:
    service, upstream, state = wanted

    async def work(session: sessions.Session) -> exits.ExitCode:
        result = await session.contracts.set_upstream_state(
            ids.ServiceName(service),
            ids.UpstreamId(upstream),
            state,
            session.make_request(request_id, reason),
        )
        return await changes.report(session, result, wait)

    sessions.run(context, output, work)


_COLUMNS = (
    *("service", "upstream", "address", "domain", "state", "keeper"),
    *("slots", "busy", "queued", "connections", "feeds", "accepting", "trust"),
)


def _collect(reports: list[host_client.HostReport]) -> _Statuses:
    """Returns each upstream's status, its keeper's word before others'."""
    statuses: _Statuses = {}
    for report in reports:
        if report.status is None:
            continue
        for status in report.status.upstreams:
            key = (status.service, status.upstream)
            if key not in statuses or status.keeper == report.status.host:
                statuses[key] = status
    return statuses


def _to_document(
    version: versions.ContractVersion,
    upstream: contracts.Upstream,
    statuses: _Statuses,
) -> dict[str, object]:
    service = version.contract.service
    status = statuses.get((service, upstream.id))
    return {
        "service": service,
        "upstream": upstream.id,
        "address": str(upstream.address),
        "domain": upstream.domain,
        "state": upstream.state.value,
        "keeper": status.keeper if status else None,
        "slots": upstream.slots,
        "busy": status.busy if status else None,
        "queued": status.queued if status else None,
        "connections": upstream.connections,
        "feeds": status.feeds if status else None,
        "accepting": status.accepting if status else None,
        "trust": status.trust if status else None,
    }
