"""Tests of the table of requests."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.flows import row as rows
from persimmonhinge.flows import table as tables
from tests.test_flows import home_fakes


def test_table_never_drops_a_row_before_its_time() -> None:
    table = tables.RequestTable(most_rows=2)
    keys = [_make_key(number) for number in range(3)]
    first = table.begin(keys[0], 100)
    second = table.begin(keys[1], 50)
    assert first and second
    assert table.begin(keys[2], 10) is None
    first.finish(home_fakes.make_answered(b"x"))
    table.expire(60)
    # The second still runs, and the first has time left.
    assert len(table) == 2
    second.finish(home_fakes.make_answered(b"x"))
    table.expire(2000)
    assert len(table) == 0


def _make_key(number: int) -> rows.RowKey:
    return rows.RowKey(ids.HostRef(1), ids.TicketId(b"%d" % number), b"", b"")
