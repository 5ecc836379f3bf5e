"""Tests of what the runs of a soak come to."""

from __future__ import annotations

import pathlib

from tests.soak import soak
from tests.soak import verdicts

_ROOT = pathlib.Path("/soak")


def _make_result(behind_s: float = 0.0, *findings: str) -> soak.SoakResult:
    return soak.SoakResult(
        faults=1,
        requests=100,
        answered=100,
        flows=10,
        versions=3,
        late=0,
        behind_s=behind_s,
        found={"calm": list(findings)},
    )


def test_clean_runs_end_with_success() -> None:
    collected = verdicts.Verdicts(_ROOT)
    collected.add(_make_result(), _ROOT / "a")
    assert collected.exit_code() == 0
    assert collected.describe() == []


def test_broken_run_is_named() -> None:
    collected = verdicts.Verdicts(_ROOT)
    collected.add(_make_result(0.0, "found"), _ROOT / "a")
    assert collected.exit_code() == 1
    assert collected.describe() == ["broken; logs are in a"]


def test_late_soak_is_neither_clean_nor_broken() -> None:
    """A machine that is too busy makes hosts look broken, or whole.

    The soak reads packets seconds late: upstreams seem to get flows long
    after they left, or hardly any request is answered and none counts as
    calm. Cause: a soak that trusts its own clock of events.
    """
    collected = verdicts.Verdicts(_ROOT)
    collected.add(_make_result(3.0), _ROOT / "a")
    collected.add(_make_result(3.0, "found"), _ROOT / "b")
    assert collected.exit_code() == 3
    (line,) = collected.describe()
    assert line.startswith("not judged") and line.endswith("a b")


def test_interrupted_run_says_so() -> None:
    collected = verdicts.Verdicts(_ROOT)
    collected.interrupted = True
    assert collected.exit_code() == 130
