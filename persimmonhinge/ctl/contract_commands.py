"""The commands `contract ...`."""

from __future__ import annotations

import pathlib
from typing import Annotated

import typer

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import diff
from persimmonhinge.contracts import version as versions
from persimmonhinge.ctl import changes
from persimmonhinge.ctl import contract_file
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import goals
from persimmonhinge.ctl import options
from persimmonhinge.ctl import session as sessions
from persimmonhinge.ctl import waiting

program = typer.Typer(
    help="Contracts: what each service may do.", no_args_is_help=True
)
File = Annotated[
    pathlib.Path, typer.Argument(help="Contract file, YAML; - for input.")
]


@program.command("check")
def check(
    context: typer.Context,
    file: File,
    offline: Annotated[
        bool,
        typer.Option("--offline", help="Don't compare with other contracts."),
    ] = False,
    output: options.Output = None,
) -> None:
    """Checks a contract file and changes nothing.

    Example: persimmonhinge-ctl contract check floor.yaml
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        contract = contract_file.read(file).contract
        if not offline:
            await session.contracts.check(contract)
        session.printer.show_text(f"{contract.service}: is good")
        session.printer.show_document(
            {"service": contract.service, "good": True}
        )
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("apply")
def apply(
    context: typer.Context,
    file: File,
    base: options.Base = None,
    replace: Annotated[
        bool,
        typer.Option(
            "--replace", help="Replace whatever stands there at the start."
        ),
    ] = False,
    wait: options.Wait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Creates or changes a contract.

    A change needs the revision that it was made from, so that it takes back
    nothing that others did meanwhile: the comment that `contract get` writes
    into the file, or --base, or --replace.

    Example: persimmonhinge-ctl contract apply floor.yaml --wait 10
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        source = contract_file.read(file)
        named = base if base is not None else source.revision
        result = await session.contracts.apply(
            source.contract,
            session.make_request(request_id, reason),
            None if named is None else ids.Revision(named),
            replaces=replace,
        )
        return await changes.report(session, result, wait)

    sessions.run(context, output, work)


@program.command("get")
def get(
    context: typer.Context,
    service: options.Service,
    output: options.Output = None,
) -> None:
    """Writes a contract as a file that can be edited and applied.

    Example: persimmonhinge-ctl contract get floor > floor.yaml
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        version = await session.contracts.get(ids.ServiceName(service))
        session.printer.show_document(_to_document(version))
        if not session.printer.for_programs:
            print(contract_file.write(version), end="")
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("list")
def show_all(context: typer.Context, output: options.Output = None) -> None:
    """Lists all contracts.

    Example: persimmonhinge-ctl contract list
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        found = await session.contracts.list()
        session.printer.show_document([_to_document(v) for v in found])
        session.printer.show_table(
            "Contracts",
            (
                *("service", "address", "upstreams", "draining"),
                *("revision", "written by", "at"),
            ),
            [_to_row(version) for version in found],
        )
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("diff")
def show_diff(
    context: typer.Context, file: File, output: options.Output = None
) -> None:
    """Shows what applying a file would change.

    Example: persimmonhinge-ctl contract diff floor.yaml
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        contract = contract_file.read(file).contract
        listed = await session.contracts.list()
        current = _find(listed, contract.service)
        before = versions.to_document(current.contract) if current else None
        lines = diff.describe(before, versions.to_document(contract))
        session.printer.show_document(
            {
                "service": contract.service,
                "revision": current.revision if current else 0,
                "differences": lines,
            }
        )
        session.printer.show_text("\n".join(lines) or "no difference")
        return exits.ExitCode.OK

    sessions.run(context, output, work)


@program.command("delete")
def delete(
    context: typer.Context,
    service: options.Service,
    base: options.Base = None,
    wait: options.Wait = None,
    reason: options.Reason = "",
    request_id: options.RequestId = None,
    output: options.Output = None,
) -> None:
    """Deletes a contract; it can be created again.

    Example: persimmonhinge-ctl contract delete floor --reason "moved away"
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        result = await session.contracts.delete(
            ids.ServiceName(service),
            session.make_request(request_id, reason),
            None if base is None else ids.Revision(base),
        )
        return await changes.report(session, result, wait)

    sessions.run(context, output, work)


@program.command("rollout")
def rollout(
    context: typer.Context,
    service: options.Service,
    wait: options.Wait = None,
    output: options.Output = None,
) -> None:
    """Shows which hosts hold the newest revision of a contract.

    It ends with 5 while a host that answers holds an older one.

    Example: persimmonhinge-ctl contract rollout floor --wait 10
    """

    async def work(session: sessions.Session) -> exits.ExitCode:
        name = ids.ServiceName(service)
        goal = await goals.find_goal(session, name)
        found = await waiting.wait_in_force(session, goal, wait or 0.0)
        waiting.show_rollout(session, found)
        session.printer.show_document(found.to_document())
        return waiting.find_exit_code(found)

    sessions.run(context, output, work)


def _find(
    listed: list[versions.ContractVersion], service: str
) -> versions.ContractVersion | None:
    for version in listed:
        if version.contract.service == service:
            return version
    return None


def _to_document(version: versions.ContractVersion) -> dict[str, object]:
    return {
        "service": version.contract.service,
        "revision": version.revision,
        "operator": version.stored.operator,
        "written_at": version.stored.written_at,
        "request_id": version.stored.request_id,
        "contract": versions.to_document(version.contract),
    }


def _to_row(version: versions.ContractVersion) -> tuple[object, ...]:
    contract = version.contract
    draining = sum(
        upstream.state is contracts.UpstreamState.DRAINING
        for upstream in contract.upstreams
    )
    return (
        contract.service,
        contract.address,
        len(contract.upstreams),
        draining,
        version.revision,
        version.stored.operator,
        version.stored.written_at,
    )
