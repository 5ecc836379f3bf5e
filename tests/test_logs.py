"""Tests of the log of hosts with the product's own interface."""

from __future__ import annotations

import logging

from persimmonhinge import logs


def _make_record(number: int) -> logging.LogRecord:
    return logging.makeLogRecord({"msg": "line %d", "args": (number,)})


def test_lines_beyond_the_budget_are_left_out_and_counted() -> None:
    """A host is busy with its log when another one dies with its requests."""
    now = [0.0]
    budget = logs.BudgetFilter(lambda: now[0])
    written = [
        record for n in range(5000) if budget.filter(record := _make_record(n))
    ]
    assert len(written) == 1000
    now[0] = 1.0
    record = _make_record(5000)
    assert budget.filter(record)
    assert record.getMessage() == "4000 lines were left out. line 5000"
