"""The program `persimmonhinge-entry`: one entry host."""

from __future__ import annotations

import logging
import pathlib
import signal
import sys
from typing import Annotated

import trio
import typer

from persimmonhinge import application
from persimmonhinge import collector
from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import logs
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@program.command()
def run(
    config_file: Annotated[
        pathlib.Path,
        typer.Option("--config", help="Settings file, YAML."),
    ],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Runs an entry host until SIGTERM, which is a planned stop.

    SIGHUP reads the settings file and the files of the credential again and
    takes over the log level and the credential; all else needs a restart,
    and the log says so.

    Example: persimmonhinge-entry --config entry.yaml --check
    """
    settings = _load(config_file)
    if check:
        typer.echo(f"{config_file}: settings are good")
        return
    logs.configure(settings.host, settings.log_level)
    collector.relax()
    trio.run(_run_host, settings, config_file)


def _load(config_file: pathlib.Path) -> settings_entry.EntrySettings:
    try:
        return config.load(config_file, settings_entry.EntrySettings)
    except errors.SettingsError as error:
        typer.echo(f"error: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)


async def _run_host(
    settings: settings_entry.EntrySettings, config_file: pathlib.Path
) -> None:
    host = application.EntryApplication(settings)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signals, host, settings, config_file)
        await host.run()
        nursery.cancel_scope.cancel()


async def _follow_signals(
    host: application.EntryApplication,
    settings: settings_entry.EntrySettings,
    config_file: pathlib.Path,
) -> None:
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with trio.open_signal_receiver(*watched) as received:
        async for number in received:
            if number == signal.SIGHUP:
                _reread(host, settings, config_file)
            else:
                host.stop()


def _reread(
    host: application.EntryApplication,
    settings: settings_entry.EntrySettings,
    config_file: pathlib.Path,
) -> None:
    try:
        fresh = config.load(config_file, settings_entry.EntrySettings)
        host.reload()
    except errors.SettingsError as error:
        logger.error("Kept the former settings: %s.", error)
        return
    logs.configure(fresh.host, fresh.log_level)
    if fresh.model_copy(update={"log_level": settings.log_level}) != settings:
        logger.warning(
            "Took over log level and credential; restart for the rest."
        )
    else:
        logger.info("Read the settings again.")


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
