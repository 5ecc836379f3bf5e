"""Callers of packet flows against real hosts, and upstreams that run them."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile

import trio

from persimmonhinge.load.flows import report as reports
from persimmonhinge.load.flows import run as runs
from persimmonhinge.settings import flow_load
from tests.standins import flow_upstream
from tests.standins import forwarding_deployment as deployments
from tests.support import trios

_ROOT = pathlib.Path(__file__).parents[2]


class Scene:
    """Two hosts and some upstreams, and the settings of their load."""

    def __init__(
        self,
        deployment: deployments.ForwardingDeployment,
        upstreams: list[flow_upstream.FlowUpstream],
    ) -> None:
        self.deployment = deployment
        self.upstreams = upstreams

    def make_settings(self, duration_s: float) -> flow_load.FlowLoadSettings:
        """Returns settings of feeds and of requests with a flow each."""
        deployment = self.deployment
        service = f"{deployments.ADDRESS}:{deployments.PORT}"
        common = {
            "service": deployments.SERVICE,
            "address": service,
            "limit_s": 10,
            "retries": 4,
        }
        feeds = {"kind": "feed", "rate": 3, "requests": 10, "pause_s": 0.1}
        once = {"kind": "reserve", "rate": 30, "repeatable": False}
        return flow_load.FlowLoadSettings.model_validate(
            {
                "duration_s": duration_s,
                "caller": "127.0.0.7",
                "hosts": [
                    f"{host.address}:{deployment.packet_port}"
                    for host in deployment.hosts
                ],
                "ready_port": deployment.page_port,
                "kinds": [{**common, **feeds}, {**common, **once}],
                "upstreams": {
                    deployments.SERVICE: [u.id for u in self.upstreams]
                },
            }
        )


@contextlib.asynccontextmanager
async def run_scene(count: int) -> AsyncIterator[Scene]:
    async with deployments.run_deployment(2) as deployment:
        async with trio.open_nursery() as nursery:
            upstreams = [
                flow_upstream.FlowUpstream(
                    number,
                    deployments.SERVICE,
                    ("127.0.0.1", 0),
                    deployment.packet_port,
                )
                for number in range(1, count + 1)
            ]
            await deployment.put_state(1)
            for upstream in upstreams:
                await nursery.start(upstream.run)
                await deployment.put_upstream(upstream)
            for host in deployment.hosts:
                await host.start()
            for host in deployment.hosts:
                await deployment.wait_ready(host)
            yield Scene(deployment, upstreams)
            nursery.cancel_scope.cancel()


@trios.trio_test
async def test_calm_load_is_answered_whole() -> None:
    async with run_scene(3) as scene:
        settings = scene.make_settings(2.0)
        load = runs.FlowRun(settings)
        await load.run()
    report = reports.make_report(load.book, settings)
    assert report.clean
    assert report.flows > 40
    assert all(not kind.lost for kind in report.kinds)
    assert max(max(u.runs.values()) for u in scene.upstreams) == 1
    assert report.imbalance[deployments.SERVICE] < 2.0


@trios.trio_test
async def test_upstream_without_power_loses_no_request() -> None:
    """A buyer's reservation is lost as an upstream died a moment ago.

    An upstream goes dark under load; nothing says so before its entry ends.
    Requests of new flows are sent elsewhere, within the time that a user
    waits; only those that it had already taken are lost.
    """
    async with run_scene(3) as scene:
        settings = scene.make_settings(3.0)
        load = runs.FlowRun(settings)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
            await trio.sleep(1.0)
            scene.upstreams[0].crash()
    report = reports.make_report(load.book, settings)
    assert report.clean
    (reserve,) = (kind for kind in report.kinds if kind.kind == "reserve")
    assert reserve.lost.get("unopened", 0) == 0
    assert sum(reserve.lost.values()) <= 2


@trios.trio_test
async def test_program_writes_the_report_of_packet_flows() -> None:
    async with run_scene(2) as scene:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "flows.yaml"
            settings = scene.make_settings(1.0)
            path.write_text(settings.model_dump_json())
            done = await trio.run_process(
                [
                    sys.executable,
                    *("-m", "persimmonhinge.cmd.load", "--flows"),
                    *("--config", str(path)),
                ],
                cwd=_ROOT,
                check=False,
                capture_stdout=True,
                stderr=subprocess.DEVNULL,
            )
    assert done.returncode == 0
    report = json.loads(done.stdout)
    assert {kind["kind"] for kind in report["kinds"]} == {"feed", "reserve"}
    assert report["flows"] > 10
