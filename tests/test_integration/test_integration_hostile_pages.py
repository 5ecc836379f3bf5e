"""A host goes on answering the platform's probes, whatever its pages get."""

from __future__ import annotations

import httpx

from tests import test_metrics_page as pages
from tests.support import trios
from tests.test_integration import forwarding_scene as scenes


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
