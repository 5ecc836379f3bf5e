"""Tests of the plans of the soak, and of its command line."""

from __future__ import annotations

from typer import testing

from tests.soak import __main__ as programs
from tests.soak import checks
from tests.soak import plan as plans
from tests.soak import regressions
from tests.soak.injectors import base
from tests.soak.injectors import builtin  # noqa: F401


def test_a_seed_gives_the_same_faults_each_time() -> None:
    assert plans.make_plan(7, 120) == plans.make_plan(7, 120)
    assert plans.make_plan(7, 120) != plans.make_plan(8, 120)


def test_all_faults_end_before_the_calm_end() -> None:
    for seed in range(20):
        for fault in plans.make_plan(seed, 60):
            assert fault.at_s + fault.for_s <= 60 - plans.CALM_END_S


def test_each_kind_of_fault_can_be_made_and_comes() -> None:
    kinds = {kind.value for kind in plans.FaultKind}
    assert set(base.injectors.names()) == kinds
    long = plans.make_plan(1, 1000)
    assert {fault.kind.value for fault in long} == kinds


def test_a_seed_that_failed_keeps_its_faults_when_kinds_are_added() -> None:
    first = list(plans.FaultKind)[:22]
    for regression in regressions.REGRESSIONS[:3]:
        length_s = regression.minutes * 60
        faults = plans.make_plan(regression.seed, length_s, regression.kinds)
        assert {fault.kind for fault in faults} <= set(first)


def test_faults_come_together_and_apart() -> None:
    faults = plans.make_plan(1, 600)
    gaps = [
        after.at_s - before.at_s
        for before, after in zip(faults, faults[1:], strict=False)
    ]
    assert min(gaps) == 0
    assert max(gaps) > checks.CALM_S


def test_bad_words_get_a_clear_error() -> None:
    runner = testing.CliRunner()
    for words in (
        ["seed"],
        ["-1"],
        ["1", "--minutes", "0"],
        ["1", "--hosts", "1"],
        ["1", "--upstreams", "100000"],
        ["1", "--load", "0"],
    ):
        result = runner.invoke(programs.program, words)
        assert result.exit_code == 2
        assert "Invalid value" in result.output or "No such" in result.output


def test_plan_can_be_read_before_a_run() -> None:
    result = testing.CliRunner().invoke(programs.program, ["3", "--plan"])
    assert result.exit_code == 0
    assert "FaultKind" in result.output
