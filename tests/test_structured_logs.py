"""Tests of the structured log."""

from __future__ import annotations

import json
import logging
import os
from unittest import mock

from persimmonhinge import structured_logs


class Clock:
    """A clock that is moved by hand."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


def make_record(text: str, **fields: object) -> logging.LogRecord:
    record = logging.makeLogRecord(
        {"name": "persimmonhinge.forwarding.x", "msg": text, **fields}
    )
    record.levelname = "INFO"
    return record


def read_lines(file: int) -> list[dict[str, object]]:
    try:
        octets = os.read(file, 1 << 20)
    except BlockingIOError:
        return []
    return [json.loads(line) for line in octets.splitlines()]


def test_line_holds_part_event_and_fields() -> None:
    near, far = os.pipe()
    handler = structured_logs.StructuredHandler("h-1", far)
    handler.emit(make_record("Chose.", flow="a>b", age_s=0.5))
    (line,) = read_lines(near)
    assert line["part"] == "forwarding"
    assert line["event"] == "Chose."
    assert line["host"] == "h-1"
    assert (line["flow"], line["age_s"]) == ("a>b", 0.5)
    os.close(near)
    os.close(far)


def test_log_that_nobody_reads_does_not_hold_up_the_host() -> None:
    """A host stops forwarding because its log is not read.

    The pipe to the log collector is full; the next line waits for room, and
    with it all packets. Cause: a write that blocks.
    """
    near, far = os.pipe()
    clock = Clock()
    handler = structured_logs.StructuredHandler("h-1", far, clock)
    for _ in range(200):
        clock.now += 1.0
        handler.emit(make_record("x" * 2000))
    os.set_blocking(near, False)
    while read_lines_raw(near):
        pass
    clock.now += 10.0
    handler.emit(make_record("After."))
    events = [line["event"] for line in read_lines(near)]
    assert events == ["Lines were left out.", "After."]
    os.close(near)
    os.close(far)


def read_lines_raw(file: int) -> bytes:
    try:
        return os.read(file, 1 << 20)
    except BlockingIOError:
        return b""


def test_lines_beyond_the_budget_are_counted() -> None:
    near, far = os.pipe()
    os.set_blocking(near, False)
    clock = Clock()
    handler = structured_logs.StructuredHandler("h-1", far, clock)
    written = 0
    for number in range(1500):
        handler.emit(make_record(str(number)))
        written += len(read_lines(near))
    clock.now += 2.0
    handler.emit(make_record("later"))
    told, later = read_lines(near)
    assert written + int(str(told["lines"])) == 1500
    assert later["event"] == "later"
    os.close(near)
    os.close(far)


class Unprintable:
    """An object whose text raises an error."""

    def __str__(self) -> str:
        raise ZeroDivisionError


def test_line_that_can_t_be_encoded_is_written_reduced_and_counted() -> None:
    """Guards against a log line that ends the process that writes it."""
    near, far = os.pipe()
    handler = structured_logs.StructuredHandler("h-1", far)
    nested: list[object] = []
    for _ in range(100_000):
        nested = [nested]
    values = (10**400, "\ud800", Unprintable(), {(1, 2): {3}}, nested)
    for value in values:
        handler.emit(make_record("Chose.", value=value))
    handler.emit(make_record("%d of %s", args=("x",)))
    handler.emit(make_record("\udfff", value=Unprintable()))
    lines = read_lines(near)
    assert len(lines) == len(values) + 2
    reduced = [line for line in lines if "not_encoded" in line]
    assert [line["reduced_lines"] for line in reduced] == list(
        range(1, len(reduced) + 1)
    )
    assert len(reduced) >= 5
    assert lines[0]["event"] == "Chose."
    assert lines[0]["level"] == "INFO"
    os.close(near)
    os.close(far)


def test_line_taken_in_part_does_not_corrupt_the_next_one() -> None:
    """Guards against a log in which a line ends in the middle of another."""
    near, far = os.pipe()
    os.set_blocking(near, False)
    handler = structured_logs.StructuredHandler("h-1", far)
    octets = b""
    for number in range(20):
        handler.emit(make_record("x" * 50_000, number=number))
        if number % 3 == 0:
            octets += os.read(near, 100_000)
    for _ in range(4):
        while chunk := read_lines_raw(near):
            octets += chunk
        handler.flush()
    lines = [json.loads(line) for line in octets.splitlines()]
    assert 1 < len(lines) < 20
    os.close(near)
    os.close(far)


def test_log_to_a_file_that_is_closed_or_full_raises_nothing() -> None:
    """Guards against a host that ends because its log can't be written."""
    full = os.open("/dev/full", os.O_WRONLY)
    closed, far = os.pipe()
    os.close(closed)
    for file in (closed, far, full):
        handler = structured_logs.StructuredHandler("h-1", file)
        for _ in range(3):
            handler.emit(make_record("Chose."))
        handler.flush()
    os.close(far)
    os.close(full)


def test_lines_of_libraries_have_the_form_of_the_log() -> None:
    """Guards against tracebacks of a library beside the log, without a budget.

    The event loop writes one each time that no descriptor is left for a
    connection.
    """
    near, far = os.pipe()
    loggers = [logging.getLogger(n) for n in ("", "persimmonhinge", "__main__")]
    former = [(g, g.handlers, g.level, g.propagate) for g in loggers]
    handler = structured_logs.StructuredHandler("h-1", far)
    with mock.patch.object(
        structured_logs, "StructuredHandler", return_value=handler
    ):
        structured_logs.configure("h-1", "ERROR")
    try:
        raise OSError("no descriptor")
    except OSError as error:
        logging.getLogger("trio.x").error("Accept.", exc_info=error)
    finally:
        for logger, handlers, level, propagate in former:
            logger.handlers, logger.propagate = handlers, propagate
            logger.setLevel(level)
    (line,) = read_lines(near)
    assert line["event"] == "Accept."
    assert "OSError: no descriptor" in str(line["error"])
    os.close(near)
    os.close(far)
