"""A host goes on answering the platform's probes, whatever its pages get."""

from __future__ import annotations

import contextlib
import pathlib

import httpx
import trio

from tests import test_metrics_page as pages
from tests.support import trios
from tests.test_integration import forwarding_scene as scenes

_IDLE = 300
_PROBES = 6
_PROBE_INTERVAL_S = 0.5
# Descriptors of a host without connections to its pages, and some to spare.
_OTHER_DESCRIPTORS = 50


def _count_descriptors(scene: scenes.Scene) -> int:
    process = scene.hosts[0].process
    assert process is not None
    return len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))


async def _read_metrics(scene: scenes.Scene) -> str:
    url = f"http://{scene.hosts[0].address}:{scene.deployment.page_port}"
    async with httpx.AsyncClient(trust_env=False) as client:
        return (await client.get(f"{url}/metrics")).text


@trios.trio_test
async def test_host_serves_on_after_requests_of_all_kinds() -> None:
    """Guards against a host that ends by the target `//[` of a request."""
    async with scenes.run_scene(1) as scene:
        await scene.start(0)
        for octets, _ in pages.REQUESTS:
            await pages.exchange(
                scene.deployment.page_port, octets, scene.hosts[0].address
            )
            assert await scene.deployment.is_ready(scene.hosts[0]), octets[:60]
        metrics = await _read_metrics(scene)
        assert 'inputs_refused_total{source="page-request"}' in metrics
        assert "input_failures_total" not in metrics


@trios.trio_test
async def test_host_is_ready_beside_idle_connections() -> None:
    """Guards against connections that use up the descriptors of a host."""
    async with (
        scenes.run_scene(1) as scene,
        contextlib.AsyncExitStack() as stack,
    ):
        await scene.start(0)
        for _ in range(_IDLE):
            await stack.enter_async_context(
                await trio.open_tcp_stream(
                    scene.hosts[0].address, scene.deployment.page_port
                )
            )
        for _ in range(_PROBES):
            assert await scene.deployment.is_ready(scene.hosts[0])
            most = pages.page.MAX_CONNECTIONS + _OTHER_DESCRIPTORS
            assert _count_descriptors(scene) < most
            await trio.sleep(_PROBE_INTERVAL_S)
