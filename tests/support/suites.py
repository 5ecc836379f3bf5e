"""Runs the tests in several processes side by side.

    python -m tests.support.suites [--jobs N] [NAME ...]

Each test file is a unit of its own; files that take long begin first. The
output of a unit is printed when it has ended. The last line gives the totals.
"""

from __future__ import annotations

import argparse
import os
import pathlib
import re
import subprocess
import sys
import time
from typing import NamedTuple

from tests.standins import ports
from tests.support import red_list

_ROOT = pathlib.Path(__file__).parents[2]
_TOTALS = re.compile(
    r"^(\d+) passed, (\d+) failed(?:, (\d+) skipped)?$", re.MULTILINE
)
# Units that run at a time: most of them wait for timers of real processes,
# and six leave room on eight cores for the processes that they start.
_JOBS = 6
_POLL_S = 0.05
# Folders whose files take longest, by a run of each on its own.
_LONG = ("test_integration", "test_ctl", "test_contracts", "test_client")


class Unit(NamedTuple):
    """A test file that runs in a process of its own.

    Attributes:
        module: Its dotted name.
        worker: Number of the place where it runs.
        process: The process.
        output: File that its output goes to.
        began_at: When it began.
    """

    module: str
    worker: int
    process: subprocess.Popen[bytes]
    output: pathlib.Path
    began_at: float


class Totals:
    """Counts of all units that have ended."""

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0
        self.skipped = 0
        self.broken: list[str] = []

    def add(self, unit: Unit, text: str) -> None:
        """Adds the counts of a unit, or notes that it has none."""
        found = _TOTALS.findall(text)
        if found:
            passed, failed, skipped = found[-1]
            self.passed += int(passed)
            self.failed += int(failed)
            self.skipped += int(skipped or 0)
        if not found or unit.process.returncode != 0:
            self.broken.append(unit.module)


def list_modules(names: list[str]) -> list[str]:
    """Returns the test files whose names hold one of the words given."""
    files = (_ROOT / "tests").rglob("test_*.py")
    modules = [
        ".".join(file.relative_to(_ROOT).with_suffix("").parts)
        for file in files
    ]
    chosen = [
        module
        for module in modules
        if not names or any(name in module for name in names)
    ]
    return sorted(chosen, key=_rank)


def run_units(modules: list[str], jobs: int, folder: pathlib.Path) -> Totals:
    """Runs test files until all have ended.

    Args:
        modules: Their dotted names, those that begin first in front.
        jobs: How many run at a time.
        folder: Where their output goes.
    """
    totals = Totals()
    waiting = list(modules)
    free = list(range(jobs))
    running: list[Unit] = []
    while waiting or running:
        while waiting and free:
            running.append(_start(waiting.pop(0), free.pop(0), folder))
        time.sleep(_POLL_S)
        for unit in [u for u in running if u.process.poll() is not None]:
            running.remove(unit)
            free.append(unit.worker)
            _report(unit, totals)
    return totals


def _rank(module: str) -> tuple[int, str]:
    folder = module.split(".")[1]
    return (_LONG.index(folder) if folder in _LONG else len(_LONG), module)


def _start(module: str, worker: int, folder: pathlib.Path) -> Unit:
    output = folder / f"{module}.txt"
    environment = {**os.environ, ports.WORKER_VARIABLE: str(worker)}
    with output.open("wb") as file:
        process = subprocess.Popen(
            [sys.executable, "-m", "nose2", "--verbose", module],
            cwd=_ROOT,
            env=environment,
            stdout=file,
            stderr=subprocess.STDOUT,
        )
    return Unit(module, worker, process, output, time.monotonic())


def _report(unit: Unit, totals: Totals) -> None:
    text = unit.output.read_text(errors="replace")
    took_s = time.monotonic() - unit.began_at
    print(f"== {unit.module} ({took_s:.0f} s)")
    print(text, flush=True)
    totals.add(unit, text)


def _print_review_cases() -> None:
    """Prints the listed cases that no test file runs."""
    text = (_ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8")
    for entry in red_list.read(text, _ROOT).values():
        if entry.is_review_case:
            print(f"KNOWN RED, not run here: {entry.line}")


def main() -> None:
    """Reads the command line and runs the tests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--jobs", type=int, default=_JOBS)
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    folder = _ROOT / "out" / "tests"
    folder.mkdir(parents=True, exist_ok=True)
    modules = list_modules(arguments.names)
    totals = run_units(modules, arguments.jobs, folder)
    _print_review_cases()
    for module in totals.broken:
        print(f"FAILED: {module}")
    counts = f"{totals.passed} passed, {totals.failed} failed"
    if totals.skipped:
        counts += f", {totals.skipped} skipped"
    print(counts)
    sys.exit(1 if totals.broken or not totals.passed else 0)


if __name__ == "__main__":
    main()
