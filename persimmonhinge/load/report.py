"""The report of a run, as it is written in JSON."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import msgspec

from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.load import balance
from persimmonhinge.load import book as books
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import feed_record
from persimmonhinge.load import latency
from persimmonhinge.load import request_record
from persimmonhinge.load import verdict as verdicts

_MEDIAN = 50.0
_P99 = 99.0
_P999 = 99.9
_DECIMALS = 3


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


class KindReport(msgspec.Struct, frozen=True):
    """Requests of one kind of one service; latencies are of answers."""

    service: str
    kind: str
    requests: int
    answered: int
    errors: int
    refused: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    most_ms: float


class ServiceReport(msgspec.Struct, frozen=True):
    """How the work of one service was spread.

    Attributes:
        service: Its name.
        imbalance: Most runs of one upstream over the mean.
        variation: Coefficient of variation of runs.
        feed_imbalance: Most feeds of one upstream over the mean.
        feed_variation: Coefficient of variation of feeds.
        runs: Runs by upstream.
        feeds: Mean of open feeds by upstream.
    """

    service: str
    imbalance: float
    variation: float
    feed_imbalance: float
    feed_variation: float
    runs: balance.Amounts
    feeds: balance.Amounts


class BrokenFeed(msgspec.Struct, frozen=True):
    """A feed that broke."""

    name: str
    faults: list[str]
    longest_silence_s: float


class Report(msgspec.Struct, frozen=True):
    """All figures of a run.

    Attributes:
        summary: The figures in one line.
        refused_but_ran: Keys of requests refused as not run that ran.
        faulty_keys: Keys of the requests behind the counts, by fault.
        kinds: Figures by kind of request.
        causes: Requests without success, by code and text of the answer.
        services: Balance by service.
        feeds_not_opened: Feeds that never got a tick.
        feed_renewals: How often callers registered a feed again.
        longest_silence_s: Longest time without a tick of any feed, seconds.
        broken_feeds: Feeds that broke.
        judged: False if there was no execution log to compare with.
    """

    summary: Summary
    refused_but_ran: list[str]
    faulty_keys: dict[str, list[str]]
    kinds: list[KindReport]
    causes: dict[str, int]
    services: list[ServiceReport]
    feeds_not_opened: int
    feed_renewals: int
    longest_silence_s: float
    broken_feeds: list[BrokenFeed]
    judged: bool

    @property
    def clean(self) -> bool:
        """True if no promise was broken."""
        summary = self.summary
        return not (
            summary.lost
            or summary.doubled
            or summary.crossed
            or summary.misrouted
            or summary.broken_flows
            or self.refused_but_ran
        )


def make_report(
    book: books.Book,
    executions: Sequence[execution_logs.Execution] | None,
) -> Report:
    """Judges a run and sums it up.

    Args:
        book: What the callers saw.
        executions: What the upstreams ran; None if that is not known, which
            leaves lost, doubled and misrouted requests uncounted.
    """
    verdict = _judge(book, executions)
    services = _report_services(book, executions or ())
    opened = [feed for feed in book.feeds if feed.opened]
    return Report(
        summary=_sum_up(book, verdict, services),
        refused_but_ran=verdict.refused_but_ran,
        faulty_keys={
            "lost": verdict.lost,
            "doubled": verdict.doubled,
            "crossed": verdict.crossed,
            "misrouted": verdict.misrouted,
        },
        kinds=_report_kinds(book.requests),
        causes=_count_causes(book.requests),
        services=services,
        feeds_not_opened=len(book.feeds) - len(opened),
        feed_renewals=sum(feed.renewals for feed in opened),
        longest_silence_s=_round(
            max((feed.longest_silence_s for feed in opened), default=0.0)
        ),
        broken_feeds=[_report_feed(feed) for feed in opened if feed.broken],
        judged=executions is not None,
    )


def _judge(
    book: books.Book, executions: Sequence[execution_logs.Execution] | None
) -> verdicts.Verdict:
    if executions is not None:
        return verdicts.judge(book.requests, executions)
    verdict = verdicts.judge(book.requests, ())
    verdict.lost.clear()
    return verdict


def _sum_up(
    book: books.Book,
    verdict: verdicts.Verdict,
    services: list[ServiceReport],
) -> Summary:
    answered = _select_answered(book.requests)
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
        p50_ms=latencies.percentile_ms(_MEDIAN),
        p99_ms=latencies.percentile_ms(_P99),
    )


def _report_kinds(
    records: list[request_record.RequestRecord],
) -> list[KindReport]:
    names = sorted({(record.service, record.kind) for record in records})
    return [
        _report_kind(
            service,
            kind,
            [r for r in records if r.service == service and r.kind == kind],
        )
        for service, kind in names
    ]


def _report_kind(
    service: ids.ServiceName,
    kind: str,
    records: list[request_record.RequestRecord],
) -> KindReport:
    answered = _select_answered(records)
    latencies = latency.Latencies(record.latency_s for record in answered)
    outcomes = [record.outcome for record in records]
    return KindReport(
        service=service,
        kind=kind,
        requests=len(records),
        answered=len(answered),
        errors=sum(not record.successful for record in answered),
        refused=outcomes.count(answers.Outcome.REFUSED),
        unknown=outcomes.count(answers.Outcome.UNKNOWN),
        p50_ms=latencies.percentile_ms(_MEDIAN),
        p99_ms=latencies.percentile_ms(_P99),
        p999_ms=latencies.percentile_ms(_P999),
        most_ms=latencies.percentile_ms(100),
    )


def _count_causes(
    records: list[request_record.RequestRecord],
) -> dict[str, int]:
    causes = (record.cause for record in records if record.cause)
    return dict(collections.Counter(causes).most_common())


def _report_services(
    book: books.Book,
    executions: Sequence[execution_logs.Execution],
) -> list[ServiceReport]:
    runs = balance.count_runs(executions, book.upstreams)
    feeds = balance.average_feeds(
        executions, book.upstreams, book.started_at, book.ended_at
    )
    return [
        _report_service(service, runs.get(service, {}), feeds.get(service, {}))
        for service in sorted(runs.keys() | feeds.keys())
    ]


def _report_service(
    service: ids.ServiceName, runs: balance.Amounts, feeds: balance.Amounts
) -> ServiceReport:
    return ServiceReport(
        service=service,
        imbalance=_round(balance.compute_imbalance(runs)),
        variation=_round(balance.compute_variation(runs)),
        feed_imbalance=_round(balance.compute_imbalance(feeds)),
        feed_variation=_round(balance.compute_variation(feeds)),
        runs=dict(sorted(runs.items())),
        feeds={name: _round(mean) for name, mean in sorted(feeds.items())},
    )


def _report_feed(feed: feed_record.FeedRecord) -> BrokenFeed:
    return BrokenFeed(
        feed.name,
        [fault.value for fault in feed.faults],
        _round(feed.longest_silence_s),
    )


def _select_answered(
    records: list[request_record.RequestRecord],
) -> list[request_record.RequestRecord]:
    return [r for r in records if r.outcome is answers.Outcome.ANSWERED]


def _round(value: float) -> float:
    return round(value, _DECIMALS)
