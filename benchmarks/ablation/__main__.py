"""What each mechanism is worth: plays hosts with and without it.

    python -m benchmarks.ablation [--scenario NAME] [--seeds N] [--plot FILE]
        [MECHANISM ...]

Each variant lacks one mechanism and plays the same seeds as the whole host.
Prints progress on standard error and a table on standard output: the share of
the credit that was earned, over the whole run and over its two worst windows,
and what the variant loses against the whole host, as mean and spread over the
pairs. With `--plot` the losses go into a picture as well. The scenario
`overload` shows its results by priority.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import logging
import statistics
import sys
from typing import Any
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

from benchmarks.ablation import failures
from benchmarks.ablation import overload
from benchmarks.ablation import overload_table
from benchmarks.ablation import overload_variants
from benchmarks.ablation import play
from benchmarks.ablation import scenario
from benchmarks.ablation import variants
from persimmonhinge import registry

T = TypeVar("T")

_SEED_STEP = 1009
_WHOLE = "none"
EXIT_BAD_ARGUMENTS = 2


class Result(NamedTuple):
    """One play.

    Attributes:
        whole: Share of the credit that was earned.
        worst: The same over the two worst windows.
        openings: Opening packets that upstreams were sent.
    """

    whole: float
    worst: float
    openings: float


class Loss(NamedTuple):
    """What a variant loses against the whole host, over pairs of seeds.

    Attributes:
        mean: Mean loss of credit over the whole run.
        spread: Standard deviation of it.
        worst: Mean loss over the two worst windows.
        openings: Mean of the opening packets that it sends less.
    """

    mean: float
    spread: float
    worst: float
    openings: float


class Setup(NamedTuple, Generic[T]):
    """A scenario, with what is switched off and measured in it.

    Attributes:
        scenario: The deployment and its load.
        variants: Variants of the hosts.
        measure: Returns the result of a play that has ended.
    """

    scenario: scenario.Scenario
    variants: registry.Registry[variants.Variant]
    measure: Callable[[play.Play], T]


def measure(run: play.Play) -> Result:
    """Returns the result of a play that has ended."""
    tally = run.tally
    return Result(tally.compute_whole(), tally.compute_worst(), run.opened)


_FAILURES = Setup(failures.SCENARIO, variants.variants, measure)
_OVERLOAD = Setup(
    overload.SCENARIO, overload_variants.variants, overload_table.measure
)
_SETUPS: dict[str, Setup[Any]] = {"failures": _FAILURES, "overload": _OVERLOAD}


def play_once(setup: Setup[T], name: str, seed: int) -> T:
    """Plays one variant with one seed."""
    omit = None if name == _WHOLE else setup.variants.get(name)
    run = play.Play(seed, omit, setup.scenario)
    run.run()
    return setup.measure(run)


def play_all(
    setup: Setup[T], names: list[str], seeds: list[int]
) -> dict[str, list[T]]:
    """Plays variants over seeds; tells how far it is."""
    results: dict[str, list[T]] = {}
    for number, name in enumerate(names, 1):
        print(f"{number} of {len(names)}: without {name}", file=sys.stderr)
        results[name] = [play_once(setup, name, seed) for seed in seeds]
    return results


def compare(whole: list[Result], variant: list[Result]) -> Loss:
    """Returns what a variant loses, seed by seed."""
    pairs = list(zip(whole, variant, strict=True))
    losses = [a.whole - b.whole for a, b in pairs]
    return Loss(
        statistics.mean(losses),
        statistics.pstdev(losses),
        statistics.mean(a.worst - b.worst for a, b in pairs),
        statistics.mean(a.openings - b.openings for a, b in pairs),
    )


def print_table(
    results: dict[str, list[Result]], losses: dict[str, Loss]
) -> None:
    """Prints the whole host, and a row for each variant."""
    whole = results[_WHOLE]
    print(f"whole host: {statistics.mean(r.whole for r in whole):.4f}", end="")
    print(f", worst {statistics.mean(r.worst for r in whole):.4f}", end="")
    print(f", openings {statistics.mean(r.openings for r in whole):.0f}")
    print("| without | loss | spread | loss, worst windows | openings less |")
    print("| --- | --- | --- | --- | --- |")
    for name, loss in losses.items():
        print(
            f"| {name} | {loss.mean:+.4f} | {loss.spread:.4f} "
            f"| {loss.worst:+.4f} | {loss.openings:+.0f} |"
        )


def draw_losses(losses: dict[str, Loss], path: str) -> None:
    """Draws the losses as bars, with their spread."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5), layout="constrained")
    axes.barh(
        list(losses),
        [loss.mean for loss in losses.values()],
        xerr=[loss.spread for loss in losses.values()],
    )
    axes.set_xlabel("credit lost without it, share of all")
    figure.savefig(path)


def main() -> None:
    """Reads the command line, plays and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mechanisms", nargs="*")
    parser.add_argument("--scenario", choices=_SETUPS, default="failures")
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", default="")
    arguments = parser.parse_args()
    if arguments.plot and arguments.scenario != "failures":
        parser.error("--plot draws the scenario failures alone")
    known = _SETUPS[arguments.scenario].variants.names()
    unknown = sorted(set(arguments.mechanisms) - set(known))
    if unknown or arguments.seeds < 1:
        wrong = ", ".join(unknown) or f"--seeds {arguments.seeds}"
        print(f"error: {wrong}; known: {', '.join(known)}", file=sys.stderr)
        sys.exit(EXIT_BAD_ARGUMENTS)
    # A line for each decision of each play would be all that is seen.
    logging.disable(logging.CRITICAL)
    names = [_WHOLE, *(arguments.mechanisms or known)]
    seeds = [1 + number * _SEED_STEP for number in range(arguments.seeds)]
    if arguments.scenario == "overload":
        overload_table.print_table(play_all(_OVERLOAD, names, seeds))
        return
    results = play_all(_FAILURES, names, seeds)
    losses = {n: compare(results[_WHOLE], results[n]) for n in names[1:]}
    print_table(results, losses)
    if arguments.plot:
        draw_losses(losses, arguments.plot)


if __name__ == "__main__":
    main()
