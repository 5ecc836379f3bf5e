"""Tests of the ablation of decisions."""

from __future__ import annotations

import subprocess
import sys

from benchmarks.ablation import outcome as outcomes
from benchmarks.ablation import play
from benchmarks.ablation import variants
from tests.test_forwarding import scene as scenes


def test_credit_is_counted_by_windows() -> None:
    tally = outcomes.Tally()
    tally.record(0.5, 0.6)
    tally.record(0.5, 2.0)
    tally.record_failure(2.5)
    tally.record(4.5, 4.55)
    assert abs(tally.compute_whole() - 2.1 / 4) < 1e-9
    assert abs(tally.compute_worst() - (0.0 + 0.55) / 2) < 1e-9


def test_each_variant_still_opens_flows() -> None:
    for name in variants.variants.names():
        host = scenes.Scene()
        variants.variants.get(name)(host)
        upstream = host.add(scenes.make_upstream(1))
        assert host.open() == upstream, name


def test_same_seed_plays_the_same() -> None:
    first, second = play.Play(3, None), play.Play(3, None)
    for run in (first, second):
        run.run()
    assert first.tally.compute_whole() == second.tally.compute_whole()
    assert first.opened == second.opened
    assert 0.8 < first.tally.compute_whole() < 1.0


def test_unknown_mechanism_is_an_error_with_its_name() -> None:
    ended = subprocess.run(
        [sys.executable, "-m", "benchmarks.ablation", "no-such-thing"],
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 2
    assert "no-such-thing" in ended.stderr
    assert "Traceback" not in ended.stderr
