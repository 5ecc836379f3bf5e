"""The command line: its options before the command, and all commands."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import typer

from persimmonhinge.ctl import audit_command
from persimmonhinge.ctl import contract_commands
from persimmonhinge.ctl import domain_commands
from persimmonhinge.ctl import host_commands
from persimmonhinge.ctl import key_commands
from persimmonhinge.ctl import printer as printers
from persimmonhinge.ctl import room_command
from persimmonhinge.ctl import session as sessions
from persimmonhinge.ctl import status_commands
from persimmonhinge.ctl import upstream_commands

_EPILOG = (
    "Exit codes: 0 done; 1 refused or invalid; 2 wrong usage or settings; "
    "3 another operator's change came first; 4 platform or hosts unavailable, "
    "nothing changed; 5 not yet in force; 6 outcome unknown, repeat with "
    "--request-id."
)


class LogLevel(enum.Enum):
    """Levels of the log."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


# Typer's own tracebacks can show local variables, and with them secrets.
program = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    epilog=_EPILOG,
    pretty_exceptions_enable=False,
)
program.add_typer(contract_commands.program, name="contract")
program.add_typer(host_commands.program, name="host")
program.add_typer(domain_commands.program, name="domain")
program.add_typer(upstream_commands.program, name="upstream")
program.add_typer(key_commands.program, name="keys")
program.command("audit")(audit_command.show_audit)
program.command("status")(status_commands.show_status)
program.command("explain")(status_commands.explain_route)
program.command("room")(room_command.show_room)


@program.callback()
def set_options(
    context: typer.Context,
    config_file: Annotated[
        pathlib.Path,
        typer.Option(
            "--config",
            envvar="PERSIMMONHINGE_CTL_CONFIG",
            help="Settings file, YAML.",
        ),
    ] = pathlib.Path("persimmonhinge-ctl.yaml"),
    output: Annotated[
        printers.OutputFormat,
        typer.Option("--output", "-o", help="Tables for people or JSON."),
    ] = printers.OutputFormat.TABLE,
    operator: Annotated[
        str | None,
        typer.Option("--operator", help="Who works here, for the audit trail."),
    ] = None,
    log_level: Annotated[
        LogLevel,
        typer.Option("--log-level", help="Lowest level that is logged."),
    ] = LogLevel.WARNING,
) -> None:
    """Contracts, hosts, upstreams, ticket keys and the audit trail.

    Example: persimmonhinge-ctl --config ctl.yaml contract list
    """
    context.obj = sessions.Invocation(
        config_file, output, operator, log_level.value
    )
