"""Tests of the metrics page."""

from __future__ import annotations

from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.metrics import render


def test_histograms_are_shown_cumulative() -> None:
    counts = host_counts.Counts()
    for duration_s in (0.004, 0.02, 0.02, 9.0):
        counts.observe("answer_seconds", duration_s)
    counts.add("flows_total")
    body, _ = render.render(counts, "")
    text = body.decode()
    name = "persimmonhinge_answer_seconds"
    assert f'{name}_bucket{{le="0.005"}} 1' in text
    assert f'{name}_bucket{{le="0.03"}} 3' in text
    assert f'{name}_bucket{{le="+Inf"}} 4' in text
    assert f"{name}_count{{}} 4" in text or f"{name}_count 4" in text
