"""The report of a run, as it is written in JSON."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from persimmonhinge.load import book as books
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import feed_record
from persimmonhinge.load import kind_report
from persimmonhinge.load import service_report
from persimmonhinge.load import summary as summaries
from persimmonhinge.load import verdict as verdicts

_DECIMALS = 3


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

    summary: summaries.Summary
    refused_but_ran: list[str]
    faulty_keys: dict[str, list[str]]
    kinds: list[kind_report.KindReport]
    causes: dict[str, int]
    services: list[service_report.ServiceReport]
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
    services = service_report.report_services(book, executions or ())
    opened = [feed for feed in book.feeds if feed.opened]
    return Report(
        summary=summaries.sum_up(book, verdict, services),
        refused_but_ran=verdict.refused_but_ran,
        faulty_keys={
            "lost": verdict.lost,
            "doubled": verdict.doubled,
            "crossed": verdict.crossed,
            "misrouted": verdict.misrouted,
        },
        kinds=kind_report.report_kinds(book),
        causes=book.count_causes(),
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


def _report_feed(feed: feed_record.FeedRecord) -> BrokenFeed:
    return BrokenFeed(
        feed.name,
        [fault.value for fault in feed.faults],
        _round(feed.longest_silence_s),
    )


def _round(value: float) -> float:
    return round(value, _DECIMALS)
