"""Tests of log lines and gauges of what a process uses."""

from __future__ import annotations

from collections.abc import Sequence
import math
from unittest import mock

from persimmonhinge import process_usage
from persimmonhinge.forwarding import gauges
from persimmonhinge.forwarding import usage_reports
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.metrics import render

_MB = 1_000_000


def list_reports(memory_mb: Sequence[float | None]) -> list[tuple[int, int]]:
    """Returns second and level of each line, with memory by the second."""
    reports = usage_reports.UsageReports(100.0)
    lines: list[tuple[int, int]] = []
    with mock.patch.object(usage_reports.logger, "log") as log:
        for second, value in enumerate(memory_mb):
            octets = None if value is None else int(value * _MB)
            with mock.patch.object(
                process_usage, "read_resident_octets", return_value=octets
            ):
                reports.report(float(second))
            lines += [(second, c.args[0]) for c in log.call_args_list]
            log.reset_mock()
    return lines


def test_usage_is_logged_each_minute_and_near_a_limit() -> None:
    """Guards against a process that is killed for memory without a trace."""
    info, warning = 20, 30
    assert list_reports([10.0] * 130) == [(0, info), (60, info), (120, info)]
    near = [10.0, 50.0, 81.0, 82.0, 50.0, 90.0]
    assert list_reports(near) == [(0, info), (2, warning), (5, warning)]
    assert list_reports([None, None]) == [(0, info)]


def test_metrics_page_shows_usage_that_is_known() -> None:
    counts = counts_module.Counts()
    gauges._register_usage(counts)
    values = counts.gauges()
    assert values["process_resident_memory_bytes"] > _MB
    assert values["process_open_fds"] > 2
    with mock.patch("os.listdir", side_effect=OSError):
        assert math.isnan(counts.gauges()["process_open_fds"])
        page, _ = render.render(counts, "text/plain")
    assert b"persimmonhinge_process_open_fds" in page
