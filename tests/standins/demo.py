"""The demo: all processes on one machine, under load and under change.

It starts the platform, the fabric, six entry hosts in three failure domains
and the upstreams, sends load, restarts one host and drains one upstream
meanwhile, and ends with tables and, as the last line, one JSON object.
"""

from __future__ import annotations

import argparse
import math
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import msgspec
from rich import console as consoles
import trio

from persimmonhinge import ids
from persimmonhinge.load import balance
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import report as reports
from persimmonhinge.load import tables
from tests.standins import child as children
from tests.standins import demo_load
from tests.standins import plan as plans
from tests.standins import processes

_EXIT_FAILED = 1
_EXIT_INTERRUPTED = 130
_RESTART_AT = 0.3
_DRAIN_AT = 0.65
# A leaving upstream gets no new work after so long.
_DRAIN_LIMIT_S = 3.0
_DECIMALS = 3
_PLANS = {
    "market": plans.make_market_plan,
    "utility": plans.make_utility_plan,
}


class DemoError(Exception):
    """The demo could not be carried through."""


class Demo:
    """One run of the demo."""

    def __init__(
        self,
        deployment: processes.Deployment,
        duration_s: float,
        console: consoles.Console,
    ) -> None:
        self._deployment = deployment
        self._duration_s = duration_s
        self._console = console
        self._started_s = time.monotonic()
        self._drained = ""
        self._drained_at = math.inf

    async def run(self) -> reports.Report:
        """Sends the load, makes the changes, and returns the report.

        Raises:
            DemoError: A process ended that should not have, the drained
                upstream got new work, or there was too little to judge.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restart_host)
            nursery.start_soon(self._drain_upstream)
            report = await self._run_load()
        self._check_proof(report)
        report = self._weigh_drained(report)
        failed = self._deployment.find_failed()
        if failed:
            tails = [f"{process.name}:\n{process.tail()}" for process in failed]
            raise DemoError("processes ended: " + "\n".join(tails))
        return report

    def _check_proof(self, report: reports.Report) -> None:
        """Refuses a run that would pass because nothing happened."""
        if not report.judged or not report.summary.answered:
            raise DemoError("no request was answered")
        if report.feeds_not_opened:
            raise DemoError(f"{report.feeds_not_opened} feeds never opened")
        self._check_drained()

    def _weigh_drained(self, report: reports.Report) -> reports.Report:
        """Takes the drained upstream as one that took work for a while.

        Counted as all others it would pass for one that got too little.
        """
        logs = self._deployment.execution_logs()
        times = [
            execution.t
            for execution in execution_logs.read_executions(logs)
            if execution.kind == execution_logs.RUN
        ]
        left_at = {ids.UpstreamId(self._drained): self._drained_at}
        imbalance = max(
            balance.compute_imbalance(
                balance.scale_left(
                    service.runs, left_at, min(times), max(times)
                )
            )
            for service in report.services
        )
        summary = msgspec.structs.replace(
            report.summary, imbalance=round(imbalance, _DECIMALS)
        )
        return msgspec.structs.replace(report, summary=summary)

    def _check_drained(self) -> None:
        log = self._deployment.execution_log(self._drained)
        late = [
            execution.key
            for execution in execution_logs.read_executions([log])
            if execution.kind == execution_logs.RUN
            and execution.t > self._drained_at + _DRAIN_LIMIT_S
        ]
        if late:
            raise DemoError(f"{self._drained} got new work: {late}")

    def say(self, text: str) -> None:
        """Tells what happens."""
        passed_s = time.monotonic() - self._started_s
        self._console.print(f"{passed_s:5.1f} s  {text}", highlight=False)

    async def _restart_host(self) -> None:
        await trio.sleep(_RESTART_AT * self._duration_s)
        name = self._deployment.plan.hosts[1].name
        self.say(f"{name} makes a planned stop")
        code = await self._deployment.stop_host(name)
        if code:
            raise DemoError(f"{name} ended its planned stop with {code}")
        self.say(f"{name} has stopped; a new process starts")
        await self._deployment.start_host(name)
        self.say(f"{name} is back")

    async def _drain_upstream(self) -> None:
        await trio.sleep(_DRAIN_AT * self._duration_s)
        service = self._deployment.plan.services[0]
        upstream = service.upstreams[0].id
        await self._deployment.ctl("upstream", "drain", service.name, upstream)
        self._drained = upstream
        self._drained_at = time.time()
        self.say(f"{upstream} is drained")

    async def _run_load(self) -> reports.Report:
        deployment = self._deployment
        config = deployment.folder / "load.yaml"
        output = deployment.folder / "report.json"
        settings = demo_load.make_load(
            deployment.layout, self._duration_s, deployment.plan.seed
        )
        demo_load.write_load(config, settings)
        arguments = ["--config", str(config), "--output", str(output)]
        for log in deployment.execution_logs():
            arguments += ["--execution-log", str(log)]
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "persimmonhinge.cmd.load", *arguments],
            cwd=children.ROOT,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
        )
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
        if not output.exists():
            raise DemoError(f"the load program ended with {process.returncode}")
        return msgspec.json.decode(output.read_bytes(), type=reports.Report)


async def run(options: argparse.Namespace) -> int:
    """Runs the demo and returns the exit code."""
    console = tables.make_console(stderr=True)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="persimmonhinge-demo-"))
    code = _EXIT_INTERRUPTED
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_at_signal, nursery.cancel_scope)
        code = await _run_in(folder, options, console)
        nursery.cancel_scope.cancel()
    if code == _EXIT_FAILED:
        console.print(f"Logs are in {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return code


async def _run_in(
    folder: pathlib.Path,
    options: argparse.Namespace,
    console: consoles.Console,
) -> int:
    plan = _PLANS[options.sizes](options.seed)
    report = None
    try:
        console.print(f"Starting {len(plan.hosts)} entry hosts")
        async with processes.run_deployment(plan, folder) as deployment:
            demo = Demo(deployment, options.seconds, console)
            demo.say("all processes are ready")
            report = await demo.run()
    except* (DemoError, children.ChildError) as group:
        for error in _flatten(group):
            console.print(f"error: {error}", markup=False, highlight=False)
    if report is None:
        return _EXIT_FAILED
    tables.print_report(report, tables.make_console(stderr=False))
    print(msgspec.json.encode(report.summary).decode(), flush=True)
    return 0 if report.clean else _EXIT_FAILED


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors += _flatten(error)
        else:
            errors.append(error)
    return errors


async def _cancel_at_signal(scope: trio.CancelScope) -> None:
    watched = (signal.SIGINT, signal.SIGTERM)
    with trio.open_signal_receiver(*watched) as received:
        async for _ in received:
            scope.cancel()


def main(arguments: list[str]) -> int:
    """Runs the program and returns its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", choices=sorted(_PLANS), default="market")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--seed", type=int, default=1)
    return trio.run(run, parser.parse_args(arguments))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
