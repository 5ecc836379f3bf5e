"""Cost of a request on its way through a host.

Run it with `python -m benchmarks.packets`. An entry host that is a real
process passes GET requests to an upstream that answers at once. The floor is a
bare relay of datagrams in trio, measured in the same run with the same
generators. Then two hosts serve, and each packet goes to the one that is not
its home. Figures are medians of some rounds.
"""

from __future__ import annotations

import pathlib
import tempfile
from typing import Annotated

import trio
import typer

from benchmarks import packet_floor
from benchmarks import packet_profile
from benchmarks import packet_relays
from benchmarks import packet_runs
from benchmarks import usage
from tests.standins import child as children

_LIMIT_S = 90.0
program = typer.Typer(add_completion=False)


async def measure_all(options: packet_runs.Options, profile: bool) -> None:
    """Runs what was asked for, with one upstream for all."""
    with tempfile.TemporaryDirectory() as name, trio.fail_after(_LIMIT_S):
        folder = pathlib.Path(name)
        echo = await children.start_child(
            "echo", "benchmarks.echo_upstream", [], folder
        )
        try:
            address = (await echo.find_text("listening on ")).strip()
            if profile:
                await packet_profile.profile_host(address, options)
                return
            await packet_floor.compare_with_floor(address, options)
            await packet_relays.compare_relayed(address, options)
        finally:
            with trio.CancelScope(shield=True):
                await echo.kill()


@program.command()
def main(
    seconds: float = 2.0,
    rounds: int = 3,
    generators: int = 3,
    profile: Annotated[
        bool, typer.Option("--profile", help="Show where the time goes.")
    ] = False,
) -> None:
    """Measures, or profiles a host."""
    print(f"begins at {usage.describe_load()}")
    options = packet_runs.Options(seconds, rounds, generators)
    trio.run(measure_all, options, profile)
    print(f"ends at {usage.describe_load()}")


if __name__ == "__main__":
    program()
