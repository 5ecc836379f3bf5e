"""The report of a run of packet flows, as it is written in JSON."""

from __future__ import annotations

import collections
from collections.abc import Sequence

import msgspec

from persimmonhinge import ids
from persimmonhinge.load import balance
from persimmonhinge.load import latency
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import records
from persimmonhinge.settings import flow_load

_DECIMALS = 3


class FlowKindReport(msgspec.Struct, frozen=True):
    """Figures of one kind of request.

    Attributes:
        kind: The kind.
        requests: Requests that users sent.
        in_time: Those that were answered within the aim.
        late: Those that were answered later.
        lost: Those without an answer, by how their last try ended.
        tries: Mean of tries of a request.
        p50_ms: Median of the latency of answered ones, milliseconds.
        p99_ms: 99th percentile of that, milliseconds.
    """

    kind: str
    requests: int
    in_time: int
    late: int
    lost: dict[str, int]
    tries: float
    p50_ms: float
    p99_ms: float


class FlowReport(msgspec.Struct, frozen=True):
    """All figures of a run.

    Attributes:
        kinds: Figures by kind of request.
        flows: Flows that opened.
        broken_flows: Open flows that a host reset.
        crossed: Keys of answers that came to another request.
        strange: Packets with data that is no answer.
        imbalance: Answers of the busiest upstream by the mean, by service.
    """

    kinds: list[FlowKindReport]
    flows: int
    broken_flows: list[str]
    crossed: list[str]
    strange: int
    imbalance: dict[str, float]

    @property
    def clean(self) -> bool:
        """True if no promise was broken."""
        return not (self.broken_flows or self.crossed or self.strange)


def make_report(
    book: books.FlowBook, settings: flow_load.FlowLoadSettings
) -> FlowReport:
    """Returns the figures of a run that has ended."""
    return FlowReport(
        kinds=[_report_kind(book, kind) for kind in settings.kinds],
        flows=len(book.opened),
        broken_flows=[str(r.flow) for r in book.resets if r.opened],
        crossed=book.crossed,
        strange=len(book.strange),
        imbalance=_compute_imbalance(book.requests, settings),
    )


def _report_kind(
    book: books.FlowBook, kind: flow_load.FlowKind
) -> FlowKindReport:
    own = [r for r in book.requests if r.kind == kind.kind]
    answered = [r for r in own if r.outcome is records.Outcome.ANSWERED]
    in_time = sum(1 for r in answered if r.latency_s <= kind.aim_s)
    lost = collections.Counter(
        r.outcome.value
        for r in own
        if r.outcome is not records.Outcome.ANSWERED
    )
    latencies = latency.Latencies(r.latency_s for r in answered)
    return FlowKindReport(
        kind=kind.kind,
        requests=len(own),
        in_time=in_time,
        late=len(answered) - in_time,
        lost=dict(lost),
        tries=round(sum(r.tries for r in own) / max(len(own), 1), _DECIMALS),
        p50_ms=latencies.percentile_ms(latency.MEDIAN),
        p99_ms=latencies.percentile_ms(latency.P99),
    )


def _compute_imbalance(
    requests: Sequence[records.RequestRecord],
    settings: flow_load.FlowLoadSettings,
) -> dict[str, float]:
    service_of = {kind.kind: kind.service for kind in settings.kinds}
    amounts: dict[str, balance.Amounts] = {
        service: {
            ids.UpstreamId(name): 0.0
            for name in settings.upstreams.get(service, ())
        }
        for service in service_of.values()
    }
    for request in requests:
        if request.upstream:
            upstream = ids.UpstreamId(request.upstream)
            counts = amounts[service_of[request.kind]]
            counts[upstream] = counts.get(upstream, 0.0) + 1
    return {
        service: round(balance.compute_imbalance(counts), _DECIMALS)
        for service, counts in amounts.items()
    }
