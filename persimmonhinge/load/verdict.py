"""Compares what callers saw with what upstreams ran."""

from __future__ import annotations

import collections
from collections.abc import Iterable
import dataclasses

from persimmonhinge.client import answer as answers
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import request_record


@dataclasses.dataclass(slots=True)
class Verdict:
    """Keys of requests that broke a promise.

    Attributes:
        lost: Answered with success, but no upstream ran it.
        doubled: Ran more than once.
        crossed: Got the answer to another request.
        misrouted: Reached an upstream of another service.
        refused_but_ran: Refused as not run, but ran.
    """

    lost: list[str] = dataclasses.field(default_factory=list)
    doubled: list[str] = dataclasses.field(default_factory=list)
    crossed: list[str] = dataclasses.field(default_factory=list)
    misrouted: list[str] = dataclasses.field(default_factory=list)
    refused_but_ran: list[str] = dataclasses.field(default_factory=list)

    @property
    def clean(self) -> bool:
        """True if no promise was broken."""
        return not (
            self.lost
            or self.doubled
            or self.crossed
            or self.misrouted
            or self.refused_but_ran
        )


def judge(
    records: Iterable[request_record.RequestRecord],
    executions: Iterable[execution_logs.Execution],
) -> Verdict:
    """Judges requests by the logs of the upstreams alone.

    Keys in the logs that no record has, as of another run, are passed over,
    but for misrouted ones.
    """
    runs: dict[str, list[execution_logs.Execution]]
    runs = collections.defaultdict(list)
    verdict = Verdict()
    for execution in executions:
        key = execution.key or ""
        if execution.kind == execution_logs.RUN:
            runs[key].append(execution)
        elif execution.kind == execution_logs.MISROUTED:
            verdict.misrouted.append(key)
    for record in records:
        _judge_request(verdict, record, runs.get(record.key, []))
    return verdict


def _judge_request(
    verdict: Verdict,
    record: request_record.RequestRecord,
    runs: list[execution_logs.Execution],
) -> None:
    if record.successful and not runs:
        verdict.lost.append(record.key)
    if len(runs) > 1:
        verdict.doubled.append(record.key)
    if record.successful and record.answer_key != record.key:
        verdict.crossed.append(record.key)
    if record.outcome is answers.Outcome.REFUSED and runs:
        verdict.refused_but_ran.append(record.key)
    if any(run.service != record.service for run in runs):
        verdict.misrouted.append(record.key)
