"""The report of a run as tables for people."""

from __future__ import annotations

import msgspec
from rich import console as consoles
from rich import table as tables

from persimmonhinge import ids
from persimmonhinge.load import balance
from persimmonhinge.load import report as reports

# Of output that goes to a file or a pipe, where no terminal sets it.
_PLAIN_WIDTH = 120


def make_console(*, stderr: bool) -> consoles.Console:
    """Returns a console on which the tables are wide enough to read."""
    console = consoles.Console(stderr=stderr)
    if not console.is_terminal:
        console.width = _PLAIN_WIDTH
    return console


def print_report(report: reports.Report, console: consoles.Console) -> None:
    """Prints the tables of a report."""
    console.print(_make_kind_table(report))
    if report.services:
        console.print(_make_service_table(report))
    console.print(_make_promise_table(report))
    for cause, count in report.causes.items():
        console.print(f"{count} requests: {cause}", markup=False)
    for feed in report.broken_feeds:
        console.print(f"Feed {feed.name} broke: {', '.join(feed.faults)}.")
    for fault, keys in report.faulty_keys.items():
        if keys:
            console.print(f"Requests {fault}: {', '.join(keys)}.")
    if report.refused_but_ran:
        names = ", ".join(report.refused_but_ran)
        console.print(f"Requests refused that ran: {names}.")


def _make_kind_table(report: reports.Report) -> tables.Table:
    table = tables.Table(title="Requests")
    table.add_column("service")
    table.add_column("kind")
    for name in (
        "sent",
        "answered",
        "errors",
        "refused",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "most ms",
    ):
        table.add_column(name, justify="right")
    for kind in report.kinds:
        values = msgspec.structs.astuple(kind)
        table.add_row(*(str(value) for value in values))
    return table


def _make_service_table(report: reports.Report) -> tables.Table:
    table = tables.Table(title="Balance")
    table.add_column("service")
    table.add_column("upstream")
    for name in ("runs", "of the mean", "feeds", "of the mean"):
        table.add_column(name, justify="right")
    for service in report.services:
        for upstream in sorted(service.runs.keys() | service.feeds.keys()):
            table.add_row(
                service.service,
                upstream,
                f"{service.runs.get(upstream, 0):.0f}",
                _format_part(service.runs, upstream),
                f"{service.feeds.get(upstream, 0):.1f}",
                _format_part(service.feeds, upstream),
            )
        table.add_section()
    return table


def _format_part(amounts: balance.Amounts, upstream: ids.UpstreamId) -> str:
    total = sum(amounts.values())
    if not total:
        return "-"
    return f"{amounts.get(upstream, 0) * len(amounts) / total:.2f}"


def _make_promise_table(report: reports.Report) -> tables.Table:
    summary = report.summary
    table = tables.Table(title="Promises")
    table.add_column("what")
    table.add_column("count", justify="right")
    table.add_row("lost", str(summary.lost))
    table.add_row("doubled", str(summary.doubled))
    table.add_row("crossed", str(summary.crossed))
    table.add_row("misrouted", str(summary.misrouted))
    table.add_row("refused but ran", str(len(report.refused_but_ran)))
    table.add_row("feeds opened", str(summary.feeds))
    table.add_row("feeds never opened", str(report.feeds_not_opened))
    table.add_row("feeds broken", str(summary.broken_flows))
    table.add_row("feeds registered again", str(report.feed_renewals))
    table.add_row("longest silence, s", f"{report.longest_silence_s:.2f}")
    return table
