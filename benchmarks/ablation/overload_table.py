"""Table of what mechanisms of overload control are worth, by priority."""

from __future__ import annotations

import statistics

from benchmarks.ablation import overload
from benchmarks.ablation import play as plays
from persimmonhinge import records

_GROUPS = overload.SCENARIO.groups


class Result(records.Record, frozen=True):
    """One play.

    Attributes:
        total: Share of the credit of all requests that was earned.
        shares: The same by priority.
        worst: The same over the worst windows of each priority.
        refused: Requests that upstreams refused.
        rejected: Flows that hosts rejected.
    """

    total: float
    shares: tuple[float, ...]
    worst: tuple[float, ...]
    refused: int
    rejected: int


def measure(run: plays.Play) -> Result:
    """Returns the result of a play that has ended."""
    tallies = [run.tallies[group.name] for group in _GROUPS]
    shares = [tally.compute_whole() for tally in tallies]
    owed = [
        tally.owed * group.worth
        for tally, group in zip(tallies, _GROUPS, strict=True)
    ]
    earned = sum(a * b for a, b in zip(shares, owed, strict=True))
    return Result(
        earned / sum(owed),
        tuple(shares),
        tuple(tally.compute_worst() for tally in tallies),
        run.refused,
        run.rejected,
    )


def print_table(results: dict[str, list[Result]]) -> None:
    """Prints a row for each variant; the first is the whole host."""
    names = [group.name for group in _GROUPS]
    columns = ["without", "total", "loss", "spread"]
    columns += [column for n in names for column in (n, f"{n}, worst")]
    columns += ["refused", "rejected"]
    print(f"| {' | '.join(columns)} |")
    print(f"| {' | '.join('---' for _ in columns)} |")
    whole = next(iter(results.values()))
    for name, found in results.items():
        print(f"| {name} | {' | '.join(_list_cells(whole, found))} |")


def _list_cells(whole: list[Result], found: list[Result]) -> list[str]:
    losses = [a.total - b.total for a, b in zip(whole, found, strict=True)]
    cells = [f"{statistics.mean(r.total for r in found):.3f}"]
    cells += [f"{statistics.mean(losses):+.3f}"]
    cells += [f"{statistics.pstdev(losses):.3f}"]
    for index in range(len(_GROUPS)):
        cells += [f"{statistics.mean(r.shares[index] for r in found):.3f}"]
        cells += [f"{statistics.mean(r.worst[index] for r in found):.3f}"]
    cells += [f"{statistics.mean(r.refused for r in found):.0f}"]
    cells += [f"{statistics.mean(r.rejected for r in found):.0f}"]
    return cells
