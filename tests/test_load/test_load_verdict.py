"""Tests of the comparison of callers' records with execution logs."""

from __future__ import annotations

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import request_record
from persimmonhinge.load import verdict as verdicts

FLOOR = ids.ServiceName("floor")
INTAKE = ids.ServiceName("intake")
OUTCOMES = strategies.sampled_from(answers.Outcome)


def make_record(
    key: str,
    outcome: answers.Outcome = answers.Outcome.ANSWERED,
    answer_key: str | None = None,
) -> request_record.RequestRecord:
    successful = outcome is answers.Outcome.ANSWERED
    if answer_key is None:
        answer_key = key if successful else ""
    return request_record.RequestRecord(
        FLOOR, "lots", key, outcome, successful, answer_key, "", 0.01
    )


def make_run(
    key: str, service: ids.ServiceName = FLOOR
) -> execution_logs.Execution:
    return execution_logs.Execution(
        execution_logs.RUN, key, service, ids.UpstreamId("u1")
    )


@hypothesis.given(
    strategies.lists(strategies.tuples(OUTCOMES, strategies.integers(0, 3)))
)
def test_counts_are_of_outcome_and_runs(
    history: list[tuple[answers.Outcome, int]],
) -> None:
    records = []
    runs = []
    for number, (outcome, times) in enumerate(history):
        records.append(make_record(str(number), outcome))
        runs += [make_run(str(number))] * times
    verdict = verdicts.judge(records, reversed(runs))
    answered = answers.Outcome.ANSWERED
    refused = answers.Outcome.REFUSED
    assert len(verdict.lost) == history.count((answered, 0))
    assert len(verdict.doubled) == sum(times > 1 for _, times in history)
    assert len(verdict.refused_but_ran) == sum(
        outcome is refused and times > 0 for outcome, times in history
    )
    assert not verdict.crossed
    assert not verdict.misrouted


def test_answer_of_another_request_is_crossed() -> None:
    verdict = verdicts.judge(
        [make_record("a", answer_key="b"), make_record("b")],
        [make_run("a"), make_run("b")],
    )
    assert verdict.crossed == ["a"]
    assert not verdict.clean


def test_run_at_another_service_is_misrouted() -> None:
    refused = execution_logs.Execution(execution_logs.MISROUTED, "c", INTAKE)
    verdict = verdicts.judge(
        [make_record("a"), make_record("b")],
        [make_run("a", INTAKE), make_run("b"), refused],
    )
    assert sorted(verdict.misrouted) == ["a", "c"]


def test_runs_of_others_are_passed_over() -> None:
    verdict = verdicts.judge([make_record("a")], [make_run("a"), make_run("z")])
    assert verdict.clean


def test_logs_are_read_up_to_a_line_that_is_cut_short() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "u1.log"
        path.write_text('{"kind":"run","key":"a","more":1}\n{"kind":"ru')
        assert execution_logs.read_executions([path]) == [
            execution_logs.Execution("run", "a")
        ]


def test_log_that_is_not_json_is_an_error() -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "u1.log"
        path.write_text('{"kind":"run"}\nnot json\n')
        try:
            execution_logs.read_executions([path])
        except errors.SettingsError as error:
            assert "line 2" in str(error)
        else:
            raise AssertionError("it was read")
