"""What the commands share: settings, platform, hosts and output."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import getpass
import pathlib

import trio
import typer

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import logs
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import host_drains
from persimmonhinge.contracts import repository
from persimmonhinge.contracts import request as requests
from persimmonhinge.contracts import ring_changes
from persimmonhinge.ctl import exits
from persimmonhinge.ctl import host_client
from persimmonhinge.ctl import host_directory
from persimmonhinge.ctl import patient_store
from persimmonhinge.ctl import printer as printers
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.settings import ctl
from persimmonhinge.store import port


@dataclasses.dataclass(frozen=True)
class Invocation:
    """The options that stand before the command.

    Attributes:
        config_file: Settings file.
        output: How results are written.
        operator: Who works here; None takes the settings' word.
        log_level: Name of the lowest level that is logged.
    """

    config_file: pathlib.Path
    output: printers.OutputFormat
    operator: str | None
    log_level: str


class Session:
    """One command at work.

    Attributes:
        settings: The settings.
        printer: Where results go.
        platform: The platform.
        trail: The audit trail.
        contracts: The contracts.
        drains: The hosts that are asked to leave, and the failure domains
            that are evacuated.
        ring: The ticket keys.
        hosts: Client of hosts' pages.
    """

    def __init__(
        self,
        settings: ctl.CtlSettings,
        invocation: Invocation,
        printer: printers.Printer,
        platform: port.Platform,
        hosts: host_client.HostClient,
    ) -> None:
        self.settings = settings
        self.printer = printer
        self.platform = platform
        self.hosts = hosts
        prefix = settings.platform.prefix
        # Hosts are listed without it, as they can be asked in an outage.
        patient = patient_store.PatientStore(platform, settings.change_limit_s)
        self.trail = audit_trail.AuditTrail(
            patient, prefix, settings.audit_entries
        )
        writer = change_writer.ChangeWriter(
            patient, self.trail, settings.change_limit_s
        )
        self.contracts = repository.ContractRepository(patient, prefix, writer)
        self.drains = host_drains.HostDrains(patient, prefix, writer)
        self.ring = ring_changes.RingChanges(patient, prefix, writer)
        self._operator = invocation.operator or settings.operator

    def make_request(
        self, request_id: str | None, reason: str
    ) -> requests.ChangeRequest:
        """Returns the request of this command.

        Args:
            request_id: Id of an earlier command to repeat; None for none.
            reason: What the operator says about it.
        """
        operator = self._operator or getpass.getuser()
        if request_id is None:
            return requests.ChangeRequest(operator, reason=reason)
        return requests.ChangeRequest(
            operator, ids.RequestId(request_id), is_repeat=True, reason=reason
        )

    async def ask_hosts(self) -> list[host_client.HostReport]:
        """Asks all hosts for their status; adds those only others know.

        Raises:
            PlatformError: See `host_directory.find_hosts`.
        """
        targets = await host_directory.find_hosts(self.settings, self.platform)
        reports = await self.hosts.ask_all(targets)
        return reports + host_client.find_unlisted(reports)


Work = Callable[[Session], Awaitable[exits.ExitCode]]
# Work that needs neither a settings file nor the platform.
HostWork = Callable[[printers.Printer], Awaitable[exits.ExitCode]]


def run(
    context: typer.Context, output: printers.OutputFormat | None, work: Work
) -> None:
    """Runs a command and exits with its code.

    Args:
        context: Context of the command line.
        output: How results are written; None takes the word before the
            command.
        work: The command.
    """
    invocation: Invocation = context.obj
    logs.configure("ctl", invocation.log_level)
    printer = printers.Printer(output or invocation.output)
    try:
        settings = config.load(invocation.config_file, ctl.CtlSettings)
        code = trio.run(_run, settings, invocation, printer, work)
    except errors.PersimmonhingeError as error:
        printer.show_error(error)
        code = exits.find_exit_code(error)
    raise typer.Exit(code)


def run_without_platform(
    context: typer.Context,
    output: printers.OutputFormat | None,
    work: HostWork,
) -> None:
    """Runs a command that only asks a named host, and exits with its code.

    Args:
        context: Context of the command line.
        output: How results are written; None takes the word before the
            command.
        work: The command.
    """
    invocation: Invocation = context.obj
    logs.configure("ctl", invocation.log_level)
    printer = printers.Printer(output or invocation.output)
    try:
        code = trio.run(work, printer)
    except errors.PersimmonhingeError as error:
        printer.show_error(error)
        code = exits.find_exit_code(error)
    raise typer.Exit(code)


async def _run(
    settings: ctl.CtlSettings,
    invocation: Invocation,
    printer: printers.Printer,
    work: Work,
) -> exits.ExitCode:
    async with _open_session(settings, invocation, printer) as session:
        return await work(session)


@contextlib.asynccontextmanager
async def _open_session(
    settings: ctl.CtlSettings,
    invocation: Invocation,
    printer: printers.Printer,
) -> AsyncIterator[Session]:
    async with platform_opening.open_store(settings.platform) as platform:
        async with host_client.HostClient(settings.host_timeout_s) as hosts:
            yield Session(settings, invocation, printer, platform, hosts)
