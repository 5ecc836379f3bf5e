"""Tests of the request table of a home."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.flows import row
from persimmonhinge.flows import table as table_module
from tests.test_flows import home_fakes


def test_row_stays_until_it_is_finished_and_its_ticket_expired() -> None:
    table = table_module.RequestTable(max_rows=2)
    keys = [_make_key(number) for number in range(3)]
    first = table.add(keys[0], 100)
    second = table.add(keys[1], 50)
    assert first and second
    assert table.add(keys[2], 10) is None
    first.finish(home_fakes.make_answered(b"x"))
    table.remove_expired(60)
    # The second request still runs, and the first ticket has not expired.
    assert len(table) == 2
    second.finish(home_fakes.make_answered(b"x"))
    table.remove_expired(2000)
    assert len(table) == 0


def _make_key(number: int) -> row.RowKey:
    return row.RowKey(ids.HostRef(1), ids.TicketId(b"%d" % number), b"", b"")
