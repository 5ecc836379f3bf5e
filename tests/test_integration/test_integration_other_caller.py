"""A caller that is not ours drives the whole path of real processes."""

from __future__ import annotations

import json
import sys
from typing import Any

import trio

from tests.standins import child
from tests.standins import plan
from tests.standins import processes
from tests.support import trios

_LARGE_OCTETS = 5000


async def _call(
    deployment: processes.Deployment, kind: str, service: str, path: str
) -> dict[str, Any]:
    host, port = deployment.layout.service_address(service)
    command = [
        *(sys.executable, "-m", "tests.standins.other_caller", kind),
        f"coap://{host}:{port}{path}",
        *("--octets", str(_LARGE_OCTETS)),
    ]
    done = await trio.run_process(command, capture_stdout=True, cwd=child.ROOT)
    document: dict[str, Any] = json.loads(done.stdout)
    return document


@trios.trio_test
async def test_another_caller_gets_answers_feeds_and_uploads() -> None:
    """A buyer's own CoAP program uses the services as they are.

    It fetches, follows the price feed, takes a large answer in blocks and
    uploads a manifest; nothing of it knows persimmonhinge.
    """
    market = plan.make_market_plan()
    trading, intake = (service.name for service in market.services)
    async with processes.run_deployment(market) as deployment:
        plain = await _call(deployment, "fetch", trading, "/time")
        large = await _call(
            deployment, "fetch", trading, f"/large/{_LARGE_OCTETS}"
        )
        feed = await _call(deployment, "observe", trading, "/board")
        manifest = await _call(deployment, "upload", intake, "/manifests/7")
    assert plain["code"] == "2.05"
    assert large == {"code": "2.05", "octets": _LARGE_OCTETS}
    ticks = [json.loads(payload)["tick"] for payload in feed["payloads"]]
    assert ticks == sorted(set(ticks)), "a tick came twice or out of order"
    assert manifest["codes"] == ["4.01", "2.04"]
    assert json.loads(manifest["payload"])["octets"] == _LARGE_OCTETS
