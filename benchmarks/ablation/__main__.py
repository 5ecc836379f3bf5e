"""What each mechanism is worth: plays hosts with and without it.

    python -m benchmarks.ablation [--seeds N] [--plot FILE] [MECHANISM ...]

Each variant lacks one mechanism and plays the same seeds as the whole host.
Prints progress on standard error and a table on standard output: the share of
the credit that was earned, over the whole run and over its two worst windows,
and what the variant loses against the whole host, as mean and spread over the
pairs. With `--plot` the losses go into a picture as well.
"""

from __future__ import annotations

import argparse
import logging
import statistics
import sys
from typing import NamedTuple

from benchmarks.ablation import play
from benchmarks.ablation import variants

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


def play_once(name: str, seed: int) -> Result:
    """Plays one variant with one seed."""
    omit = None if name == _WHOLE else variants.variants.get(name)
    run = play.Play(seed, omit)
    run.run()
    tally = run.tally
    return Result(tally.compute_whole(), tally.compute_worst(), run.opened)


def play_all(names: list[str], seeds: list[int]) -> dict[str, list[Result]]:
    """Plays variants over seeds; tells how far it is."""
    results: dict[str, list[Result]] = {}
    for number, name in enumerate(names, 1):
        print(f"{number} of {len(names)}: without {name}", file=sys.stderr)
        results[name] = [play_once(name, seed) for seed in seeds]
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
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--plot", default="")
    arguments = parser.parse_args()
    known = variants.variants.names()
    unknown = sorted(set(arguments.mechanisms) - set(known))
    if unknown or arguments.seeds < 1:
        wrong = ", ".join(unknown) or f"--seeds {arguments.seeds}"
        print(f"error: {wrong}; known: {', '.join(known)}", file=sys.stderr)
        sys.exit(EXIT_BAD_ARGUMENTS)
    # A line for each decision of each play would be all that is seen.
    logging.disable(logging.CRITICAL)
    names = [_WHOLE, *(arguments.mechanisms or known)]
    seeds = [1 + number * _SEED_STEP for number in range(arguments.seeds)]
    results = play_all(names, seeds)
    losses = {n: compare(results[_WHOLE], results[n]) for n in names[1:]}
    print_table(results, losses)
    if arguments.plot:
        draw_losses(losses, arguments.plot)


if __name__ == "__main__":
    main()
