"""Runs the soak from the command line.

python -m tests.soak SEED [--minutes M] [--hosts N] [--upstreams N]
"""

from __future__ import annotations

import json
import pathlib
import shutil
import sys
from typing import Annotated

import trio
import typer

from tests.soak import plan as plans
from tests.soak import regressions
from tests.soak import settings as soak_settings
from tests.soak import soak
from tests.soak import verdicts

_ROOT = pathlib.Path(__file__).parents[2]
_FEWEST_MINUTES = 0.4
_MOST_PROCESSES = 200
_FEWEST_UPSTREAMS = 7
# Hosts in each failure domain of the users' small deployments.
_DEPLOYMENTS = {
    "hinokuni-lb": (2, 3, 1),
    "marche-central": (3, 2, 1),
    "tmtu-railbridge": (3, 2, 2),
}

program = typer.Typer(add_completion=False)


@program.command()
def run(
    seed: Annotated[
        int, typer.Argument(min=0, help="Seed of the first run.")
    ] = 1,
    minutes: Annotated[
        float, typer.Option(min=_FEWEST_MINUTES, help="Length of a run.")
    ] = 1.0,
    runs: Annotated[
        int, typer.Option(min=1, help="Runs, each with the next seed.")
    ] = 1,
    hosts: Annotated[
        int, typer.Option(min=2, max=_MOST_PROCESSES, help="Hosts.")
    ] = 6,
    upstreams: Annotated[
        int,
        typer.Option(
            min=_FEWEST_UPSTREAMS, max=_MOST_PROCESSES, help="Upstreams."
        ),
    ] = 9,
    domains: Annotated[
        int, typer.Option(min=1, max=11, help="Failure domains.")
    ] = 3,
    load: Annotated[
        float, typer.Option(min=0.1, max=10, help="Part of the usual load.")
    ] = 1.0,
    deployment: Annotated[
        str, typer.Option(help=f"Hosts as at one of {', '.join(_DEPLOYMENTS)}.")
    ] = "",
    hostile: Annotated[
        bool,
        typer.Option(
            "--hostile", help="Only inputs that no sane sender sends."
        ),
    ] = False,
    again: Annotated[
        bool,
        typer.Option("--regressions", help="Run the seeds that once failed."),
    ] = False,
    plan: Annotated[
        bool, typer.Option("--plan", help="Print the faults and exit.")
    ] = False,
) -> None:
    """Runs hosts under faults.

    Ends with 1 if a promise was broken, 3 if a run proves nothing.
    """
    length_s = minutes * 60
    only = plans.HOSTILE_KINDS if hostile else ()
    if plan:
        for fault in plans.make_plan(seed, length_s, only=only):
            typer.echo(fault)
        return
    if deployment and deployment not in _DEPLOYMENTS:
        raise typer.BadParameter(f"no deployment is called {deployment!r}")
    sizes = _DEPLOYMENTS.get(deployment, ())
    planned = [
        soak_settings.SoakSettings(
            number,
            length_s,
            _make_folder(number),
            sum(sizes) or hosts,
            upstreams,
            load,
            domains=domains,
            only=only,
            deployment=sizes,
        )
        for number in range(seed, seed + runs)
    ]
    if again:
        planned = [
            soak_settings.SoakSettings(
                r.seed,
                r.minutes * 60,
                _make_folder(r.seed),
                hosts=r.hosts,
                kinds=r.kinds,
                domains=r.domains,
            )
            for r in regressions.REGRESSIONS
        ]
    collected = verdicts.Verdicts(_ROOT)
    try:
        for one in planned:
            collected.add(_run_one(one), one.folder)
    except* KeyboardInterrupt:
        collected.interrupted = True
    for line in collected.describe():
        typer.echo(line)
    sys.exit(collected.exit_code())


def _make_folder(seed: int) -> pathlib.Path:
    return _ROOT / "out" / "soak" / f"seed-{seed}"


def _run_one(settings: soak_settings.SoakSettings) -> soak.SoakResult:
    folder = settings.folder
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    result = trio.run(soak.run_soak, settings)
    found = {name: len(lines) for name, lines in result.found.items() if lines}
    typer.echo(
        f"seed {settings.seed}: {settings.length_s:.0f} s, "
        f"{result.faults} faults, "
        f"{result.answered} of {result.requests} requests answered, "
        f"{result.flows} flows, {result.versions} versions, "
        f"{result.late} late entries, {result.behind_s:.2f} s late itself, "
        f"broken: {found or 'none'}"
    )
    for name, lines in result.found.items():
        for line in lines[:5]:
            typer.echo(f"  {name}: {line}")
    (folder / "found.json").write_text(json.dumps(result.found, indent=1))
    if result.clean and result.valid:
        shutil.rmtree(folder)
    return result


if __name__ == "__main__":
    program()
