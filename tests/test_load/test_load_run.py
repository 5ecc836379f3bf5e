"""Tests of whole runs against a small server."""

from __future__ import annotations

import json
import random
import statistics

import trio

from persimmonhinge import ids
from persimmonhinge.client import settings as client_settings
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import arrivals
from persimmonhinge.load import balance
from persimmonhinge.load import executions as execution_logs
from persimmonhinge.load import report as reports
from persimmonhinge.load import run as runs
from persimmonhinge.settings import load as load_settings
from tests.support import trios
from tests.test_client import server as servers

FLOOR = ids.ServiceName("floor")
UPSTREAM = ids.UpstreamId("u1")


def make_settings(
    server: servers.Server, feeds: int
) -> load_settings.LoadSettings:
    host, port = server.address
    service = load_settings.ServiceLoad(
        service="floor",
        address=contracts.Address(host=host, port=port),
        feeds=(load_settings.FeedLoad(count=feeds),),
        requests=(
            load_settings.RequestLoad(
                kind="lots", path="/lots/{number}", rate=100, callers=3
            ),
            load_settings.RequestLoad(
                kind="uploads", path="/manifests/1", rate=20, body_octets=3000
            ),
        ),
    )
    return load_settings.LoadSettings(
        duration_s=0.5,
        ramp_s=0.1,
        settle_s=0.0,
        client=client_settings.ClientSettings(ack_timeout_s=0.05),
        services=(service,),
    )


def read_runs(server: servers.Server) -> list[execution_logs.Execution]:
    return [
        execution_logs.Execution(
            execution_logs.RUN, json.loads(body)["key"], FLOOR, UPSTREAM
        )
        for body in server.runs
    ]


@trios.trio_test
async def test_requests_over_a_bad_network_are_clean() -> None:
    faults = servers.Faults(loss=0.1, duplicate=0.2, reorder=0.2)
    async with servers.open_server(faults) as server:
        load = runs.LoadRun(make_settings(server, feeds=1))
        await load.run()
        report = reports.make_report(load.book, read_runs(server))
    summary = report.summary
    assert summary.requests == summary.answered == len(server.runs)
    assert {kind.kind for kind in report.kinds} == {"lots", "uploads"}
    assert report.clean
    assert report.services[0].runs == {UPSTREAM: len(server.runs)}


@trios.trio_test
async def test_gap_in_a_feed_is_told() -> None:
    async with servers.open_server() as server:
        load = runs.LoadRun(make_settings(server, feeds=3))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            while len(server.observers) < 3:
                await trio.sleep(0.001)
            for tick in (1, 2, 4):
                await server.notify(b'{"tick": %d}' % tick)
        report = reports.make_report(load.book, read_runs(server))
    assert report.summary.feeds == 3
    assert report.summary.broken_flows == 3
    assert report.broken_feeds[0].faults == ["gap"]
    assert not report.clean


def test_arrivals_are_those_of_the_seed() -> None:
    first = list(arrivals.make_arrivals(100, 50, random.Random(1)))
    assert first == list(arrivals.make_arrivals(100, 50, random.Random(1)))
    assert first == sorted(first)
    gaps = [later - at for at, later in zip(first, first[1:], strict=False)]
    assert 0.009 < statistics.fmean(gaps) < 0.011
    assert 0.009 < statistics.pstdev(gaps) < 0.011


def test_idle_upstreams_count_for_imbalance() -> None:
    lines = [
        execution_logs.Execution(kind, None, FLOOR, UPSTREAM)
        for kind in ("run", "excess", "run")
    ]
    idle = ids.UpstreamId("u2")
    counts = balance.count_runs(lines, {FLOOR: (idle,)})[FLOOR]
    assert counts == {UPSTREAM: 2, idle: 0}
    assert balance.compute_imbalance(counts) == 2.0
    assert balance.compute_variation(counts) == 1.0
    assert (
        balance.compute_imbalance({UPSTREAM: 3, ids.UpstreamId("u2"): 3}) == 1.0
    )


def test_feeds_count_for_the_time_that_they_are_open() -> None:
    lines = [
        execution_logs.Execution(
            execution_logs.FEEDS, None, FLOOR, UPSTREAM, at_s, feeds
        )
        for at_s, feeds in ((5.0, 1), (10.0, 2), (15.0, 1), (30.0, 0))
    ]
    idle = ids.UpstreamId("u2")
    means = balance.average_feeds(lines, {FLOOR: (idle,)}, 10.0, 20.0)
    assert means == {FLOOR: {UPSTREAM: 1.5, idle: 0.0}}
