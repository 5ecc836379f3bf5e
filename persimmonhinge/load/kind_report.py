"""The figures of one kind of request."""

from __future__ import annotations

import msgspec

from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.load import book as books
from persimmonhinge.load import latency
from persimmonhinge.load import request_record


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


def report_kinds(book: books.Book) -> list[KindReport]:
    """Returns the figures of each kind of each service."""
    records = book.requests
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
    answered = [r for r in records if r.outcome is answers.Outcome.ANSWERED]
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
        p50_ms=latencies.percentile_ms(latency.MEDIAN),
        p99_ms=latencies.percentile_ms(latency.P99),
        p999_ms=latencies.percentile_ms(latency.P999),
        most_ms=latencies.percentile_ms(100),
    )
