"""Tests of the record of refused inputs."""

from __future__ import annotations

import logging

from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import refusals
from persimmonhinge.metrics import counts

_ENTRY = input_source.InputSource.ENTRY


class _Lines(logging.Handler):
    def __init__(self) -> None:
        super().__init__()
        self.records: list[logging.LogRecord] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.records.append(record)


def _record_at(
    *times_s: float,
) -> tuple[counts.Counts, list[logging.LogRecord]]:
    """Records the same refusal at some times; returns counts and lines."""
    counters, lines = counts.Counts(), _Lines()
    clock = iter(times_s)
    record = refusals.Refusals(counters, lambda: next(clock))
    logger = logging.getLogger(refusals.__name__)
    logger.addHandler(lines)
    error = errors.UnreadableEntryError(
        "is \ud800", step="read entry", peer="servers/a", field="Addr"
    )
    try:
        for _ in times_s:
            record.record_refusal(_ENTRY, "servers/a", error)
    finally:
        logger.removeHandler(lines)
    return counters, lines.records


def test_refusal_is_counted_and_names_key_field_and_reason() -> None:
    counters, (line,) = _record_at(0.0)
    assert counters.get("inputs_refused_total", source="entry") == 1
    assert line.__dict__["key"] == "servers/a"
    assert line.__dict__["field"] == "Addr"
    assert line.__dict__["reason"] == "is \\ud800"


def test_lines_of_one_source_are_limited_and_say_how_many_are_omitted() -> None:
    counters, lines = _record_at(0.0, 0.2, 0.4, 1.1)
    assert counters.get("inputs_refused_total", source="entry") == 4
    assert [line.__dict__["omitted"] for line in lines] == [0, 2]


def test_failure_names_the_error_and_where_it_was_raised() -> None:
    counters, lines = counts.Counts(), _Lines()
    logger = logging.getLogger(refusals.__name__)
    logger.addHandler(lines)
    try:
        raise TypeError("no address")
    except TypeError as error:
        refusals.Refusals(counters).record_failure(_ENTRY, "k", error)
    finally:
        logger.removeHandler(lines)
    assert counters.get("input_failures_total", source="entry") == 1
    assert lines.records[0].__dict__["reason"] == "TypeError: no address"
    assert "test_failure_names" in lines.records[0].__dict__["frames"][-1]
