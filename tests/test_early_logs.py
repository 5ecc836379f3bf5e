"""Tests of log lines of the time before `logging` is imported."""

from __future__ import annotations

import json
import subprocess
import sys

from persimmonhinge import early_logs

_EARLY = """
import sys
from persimmonhinge import early_logs
logger = early_logs.get_logger("persimmonhinge.forwarding.startup")
assert "logging" not in sys.modules
for number in range({lines}):
    logger.info("Line %d.", number, extra={{"number": number}})
logger.debug("Too low.")
from persimmonhinge import structured_logs
structured_logs.configure("h-1", "INFO")
early_logs.release()
logger.warning("Later.")
"""


def run_early(lines: int) -> list[dict[str, object]]:
    """Returns what a program writes that logs so many lines early."""
    ended = subprocess.run(
        [sys.executable, "-S", "-c", _EARLY.format(lines=lines)],
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": ":".join(sys.path)},
    )
    return [json.loads(line) for line in ended.stdout.splitlines()]


def test_early_lines_are_written_in_order_with_their_fields() -> None:
    """The log of a restarted host begins after its first flows.

    A host forwards before `logging` is imported; what it decided then is not
    in its log, or without the time at which it came about. Cause: a line has
    nowhere to go yet, and is dropped.
    """
    written = run_early(2)
    assert [line["event"] for line in written] == [
        "Line 0.",
        "Line 1.",
        "Later.",
    ]
    assert [line.get("number") for line in written] == [0, 1, None]
    assert {line["part"] for line in written} == {"forwarding"}
    times = [line["time"] for line in written]
    assert times == sorted(times, key=float)  # type: ignore[arg-type]


def test_early_lines_are_bounded_and_those_left_out_counted() -> None:
    written = run_early(1010)
    left_out = [line for line in written if "left out" in str(line["event"])]
    assert sum(int(str(line["lines"])) for line in left_out) >= 10


def test_logger_is_the_library_s_wherever_that_is_imported() -> None:
    import logging

    assert isinstance(early_logs.get_logger("x"), logging.Logger)
