"""The program `persimmonhinge-load`: callers under load, and their judge."""

from __future__ import annotations

import pathlib
import signal
import sys
from typing import Annotated

import msgspec
import trio
import typer

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import logs
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import report as reports
from persimmonhinge.load import run as runs
from persimmonhinge.load import tables
from persimmonhinge.load.flows import report as flow_reports
from persimmonhinge.load.flows import run as flow_runs
from persimmonhinge.settings import flow_load
from persimmonhinge.settings import load as load_settings

EXIT_PROMISE_BROKEN = 1
EXIT_BAD_SETTINGS = 2

LoadSettings = load_settings.LoadSettings | flow_load.FlowLoadSettings

program = typer.Typer(add_completion=False)


@program.command()
def run(
    config_file: Annotated[
        pathlib.Path,
        typer.Option("--config", help="Settings file, YAML."),
    ],
    execution_log: Annotated[
        list[pathlib.Path] | None,
        typer.Option(help="Log of what an upstream ran; may be repeated."),
    ] = None,
    output: Annotated[
        pathlib.Path | None,
        typer.Option(help="File of the report; the tables go to stdout."),
    ] = None,
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
    flows: Annotated[
        bool, typer.Option("--flows", help="The load is of packet flows.")
    ] = False,
) -> None:
    """Sends the load of a settings file and writes a report in JSON.

    Ends with 0 if no promise was broken, 1 if one was, 2 if the settings or
    a log can't be read. Ctrl-C ends the load early; the report still comes.

    With `--flows` the settings are of packet flows to hosts that forward
    them (`settings/flow_load.py`), and the report tells of broken flows, late
    and lost requests and the imbalance.

    Example: persimmonhinge-load --config load.yaml --execution-log a.log
    """
    try:
        settings = _read_settings(config_file, flows=flows)
        if check:
            typer.echo(f"{config_file}: settings are good")
            return
        logs.configure("load", settings.log_level)
        report = _play(settings, execution_log)
    except (errors.SettingsError, OSError) as error:
        typer.echo(f"error: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    _write(report, output)
    if not report.clean:
        sys.exit(EXIT_PROMISE_BROKEN)


def _read_settings(path: pathlib.Path, *, flows: bool) -> LoadSettings:
    if flows:
        return config.load(path, flow_load.FlowLoadSettings)
    return config.load(path, load_settings.LoadSettings)


def _play(
    settings: LoadSettings,
    paths: list[pathlib.Path] | None,
) -> reports.Report | flow_reports.FlowReport:
    if isinstance(settings, flow_load.FlowLoadSettings):
        flow_run = flow_runs.FlowRun(settings)
        trio.run(_run_load, flow_run)
        return flow_reports.make_report(flow_run.book, settings)
    load = runs.LoadRun(settings)
    trio.run(_run_load, load)
    return _judge(load, paths)


async def _run_load(load: runs.LoadRun | flow_runs.FlowRun) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_follow_signals, load)
        await load.run()
        nursery.cancel_scope.cancel()


async def _follow_signals(load: runs.LoadRun | flow_runs.FlowRun) -> None:
    watched = (signal.SIGTERM, signal.SIGINT)
    with trio.open_signal_receiver(*watched) as received:
        async for _ in received:
            load.stop()


def _judge(
    load: runs.LoadRun, paths: list[pathlib.Path] | None
) -> reports.Report:
    executions = None
    if paths:
        executions = execution_logs.read_executions(paths)
    return reports.make_report(load.book, executions)


def _write(
    report: reports.Report | flow_reports.FlowReport,
    output: pathlib.Path | None,
) -> None:
    if isinstance(report, reports.Report):
        console = tables.make_console(stderr=output is None)
        tables.print_report(report, console)
    data = msgspec.json.format(msgspec.json.encode(report))
    if output is None:
        typer.echo(data.decode())
    else:
        output.write_bytes(data + b"\n")


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
