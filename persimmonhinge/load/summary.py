"""The figures of a run in one line."""

from __future__ import annotations

import msgspec

from persimmonhinge.client import answer as answers
from persimmonhinge.load import book as books
from persimmonhinge.load import latency
from persimmonhinge.load import service_report
from persimmonhinge.load import verdict as verdicts


class Summary(msgspec.Struct, frozen=True):
    """The figures of a run in one line.

    Attributes:
        requests: Requests sent.
        answered: Requests that got an answer, be it an error.
        refused: Requests refused as not run.
        unknown: Requests of unknown outcome.
        lost: Answered with success, but run by no upstream.
        doubled: Run more than once.
        crossed: Answered with the answer to another request.
        misrouted: Run at an upstream of another service.
        feeds: Feeds that were opened.
        broken_flows: Feeds with a gap, repeat, step back, stall or end.
        imbalance: Most runs of one upstream over the mean, of the service
            that is worst.
        p50_ms: Median time to the answer from the intended start, ms.
        p99_ms: 99th percentile of the same, ms.
    """

    requests: int
    answered: int
    refused: int
    unknown: int
    lost: int
    doubled: int
    crossed: int
    misrouted: int
    feeds: int
    broken_flows: int
    imbalance: float
    p50_ms: float
    p99_ms: float


def sum_up(
    book: books.Book,
    verdict: verdicts.Verdict,
    services: list[service_report.ServiceReport],
) -> Summary:
    """Sums up a run."""
    answered = book.select_answered()
    latencies = latency.Latencies(record.latency_s for record in answered)
    return Summary(
        requests=len(book.requests),
        answered=len(answered),
        refused=book.count(answers.Outcome.REFUSED),
        unknown=book.count(answers.Outcome.UNKNOWN),
        lost=len(verdict.lost),
        doubled=len(verdict.doubled),
        crossed=len(verdict.crossed),
        misrouted=len(verdict.misrouted),
        feeds=sum(feed.opened for feed in book.feeds),
        broken_flows=sum(feed.broken for feed in book.feeds),
        imbalance=max((s.imbalance for s in services), default=0.0),
        p50_ms=latencies.percentile_ms(latency.MEDIAN),
        p99_ms=latencies.percentile_ms(latency.P99),
    )
