"""Tests of the last log line of a process."""

from __future__ import annotations

from collections.abc import Callable
import json
import os
from typing import Any
from unittest import mock

from persimmonhinge import process_end
from persimmonhinge import process_usage


class UnprintableError(Exception):
    """An error whose text raises another one."""

    def __str__(self) -> str:
        raise ZeroDivisionError


class EndedError(BaseException):
    """Stands in for the end of the process.

    Attributes:
        code: The exit code.
    """

    def __init__(self, code: int) -> None:
        super().__init__()
        self.code = code


def raise_ended(code: int) -> None:
    raise EndedError(code)


def capture_end(end: Callable[[], None]) -> tuple[int, dict[str, Any]]:
    """Returns the exit code and the last line."""
    near, far = os.pipe()
    with (
        mock.patch.object(process_end, "_STDOUT", far),
        mock.patch.object(process_end, "_write_early_lines"),
        mock.patch.object(process_end._signal, "signal"),
        mock.patch.object(os, "_exit", side_effect=raise_ended),
    ):
        try:
            end()
        except EndedError as ended:
            code = ended.code
    (line,) = os.read(near, 1 << 16).splitlines()
    os.close(near)
    os.close(far)
    return code, json.loads(line)


def end_with(error: BaseException) -> tuple[int, dict[str, Any]]:
    """Raises an error and returns how the process ends by it."""

    def end() -> None:
        try:
            raise error
        except BaseException as raised:
            process_end.end_with_error(raised)

    return capture_end(end)


def test_any_error_gives_one_line_with_its_reason() -> None:
    """Guards against a process that ends without a reason in its log."""
    group = BaseExceptionGroup(
        "outer",
        [
            ExceptionGroup("inner", [ValueError("a\nb"), TypeError("c")]),
            KeyboardInterrupt(),
        ],
    )
    many = ExceptionGroup("many", [ValueError("x") for _ in range(1000)])
    for error, code, reason in (
        (ValueError("bad"), 1, "ValueError: bad"),
        (group, 1, "ValueError: a\nb; TypeError: c; KeyboardInterrupt: "),
        (many, 1, "; ".join(["ValueError: x"] * 5) + "; and 995 more"),
        (ValueError("\ud800\0"), 1, "ValueError: \ud800\0"),
        (
            UnprintableError(),
            1,
            "UnprintableError: (its text raises ZeroDivisionError)",
        ),
        (MemoryError(), 1, "MemoryError: "),
        (KeyboardInterrupt(), 1, "KeyboardInterrupt: "),
        (SystemExit(7), 7, "SystemExit: 7"),
        (SystemExit("text"), 1, "SystemExit: text"),
    ):
        exit_code, line = end_with(error)
        assert (exit_code, line["exit_code"]) == (code, code)
        assert line["reason"] == reason
        assert line["event"] == "Process ended."
        assert line["level"] == "ERROR"
        assert line["where"][-1].endswith(" end"), error


def test_line_holds_innermost_frames_and_usage() -> None:
    def recurse(depth: int) -> None:
        if depth == 0:
            raise ValueError
        recurse(depth - 1)

    def end() -> None:
        try:
            recurse(50)
        except ValueError as error:
            process_end.end_with_error(error)

    _, line = capture_end(end)
    assert len(line["where"]) == 8
    assert line["where"][-1].startswith(f"{__file__}:")
    assert line["where"][-1].endswith(" recurse")
    assert line["uptime_s"] >= 0
    assert line["peak_memory_bytes"] > 1_000_000
    assert line["open_fds"] > 2


def test_planned_stop_and_bad_settings_have_their_exit_codes() -> None:
    code, line = capture_end(lambda: process_end.end_planned("planned stop"))
    assert (code, line["level"], line["reason"]) == (0, "INFO", "planned stop")
    code, line = capture_end(
        lambda: process_end.end_with_bad_settings(ValueError("host: bad"))
    )
    assert (code, line["level"], line["reason"]) == (2, "ERROR", "host: bad")


def test_usage_that_can_t_be_read_is_unknown() -> None:
    """Guards against a last line that fails when descriptors have run out."""
    with (
        mock.patch.object(os, "open", side_effect=OSError),
        mock.patch.object(os, "listdir", side_effect=OSError),
    ):
        assert process_usage.read_resident_octets() is None
        assert process_usage.count_descriptors() is None
        _, line = end_with(ValueError("x"))
    assert line["open_fds"] is None
    resident = process_usage.read_resident_octets()
    peak = process_usage.read_peak_octets()
    assert resident is not None
    assert peak is not None
    assert 0 < resident < 2 * peak
