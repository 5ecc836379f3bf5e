"""How the work of one service was spread."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from persimmonhinge import ids
from persimmonhinge.load import balance
from persimmonhinge.load import book as books
from persimmonhinge.load import executions as execution_logs

_DECIMALS = 3


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


def report_services(
    book: books.Book,
    executions: Sequence[execution_logs.Execution],
) -> list[ServiceReport]:
    """Returns the balance of each service."""
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


def _round(value: float) -> float:
    return round(value, _DECIMALS)
