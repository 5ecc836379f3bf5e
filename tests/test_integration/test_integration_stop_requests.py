"""A planned stop cuts no request, and tells of itself first."""

from __future__ import annotations

import json
import signal

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.platform import opening as platform_opening
from persimmonhinge.store import keys
from tests.standins import load_callers
from tests.standins import plan as plans
from tests.standins import processes
from tests.standins import raw_caller
from tests.standins import upstream_control
from tests.support import trios
from tests.test_integration import feed_plans
from tests.test_integration import settled

_SERVICE = feed_plans.SERVICE
_CALLERS = 9
# Long against a round trip, short against the limit of a stop.
_RUN_TIME_MS = 700
_STOP_LIMIT_S = 10.0
# A process also has to end, on a machine that does other work.
_END_S = 5.0
_POLL_S = 0.02
_LIMIT_S = 20.0
_LEAVING = "leaving"


def _make_plan(
    limits: contracts.Limits | None = None,
) -> plans.DeploymentPlan:
    return feed_plans.make_plan(
        limits=limits,
        upstream_options=("--run-time-ms", str(_RUN_TIME_MS)),
    )


@trios.trio_test
async def test_stop_waits_for_requests_in_progress() -> None:
    """A reservation is lost when the host that carries it is renewed.

    Two hosts, home and keeper of reservations that run for long, get
    SIGTERM one after the other. Each must end by itself, with all that it
    carried answered: no caller may hear "unknown" or "not run". Cause: a
    process that ends with requests in its tables.
    """
    async with settled.run_settled(_make_plan()) as deployment:
        async with load_callers.run_callers(
            deployment, _SERVICE, _CALLERS
        ) as callers:
            for host in ("entry-1", "entry-2"):
                await callers.wait_answered(_CALLERS)
                began = trio.current_time()
                assert await deployment.stop_host(host) == 0
                took_s = trio.current_time() - began
                assert took_s < _STOP_LIMIT_S, took_s
            await callers.wait_each()
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_stop_is_announced_before_work_is_refused() -> None:
    """Callers are refused by a host that others still take for a live one.

    A host gets SIGTERM while a request runs that it carries. Its peers and
    the platform's list must show it as leaving while it still takes a new
    request, as the fabric learns of it later than they. Cause: a host that
    closes its door first and tells of it afterwards.
    """
    host = "entry-1"
    async with settled.run_settled(_make_plan()) as deployment:
        address = _find_address(deployment, host)
        async with (
            load_callers.run_callers(deployment, _SERVICE, _CALLERS) as callers,
            raw_caller.open_raw_caller(seed=1) as direct,
        ):
            await callers.wait_answered(_CALLERS)
            process = deployment.hosts[host]
            process.send(signal.SIGTERM)
            await _wait_listed_as_leaving(deployment, host)
            await _wait_seen_as_leaving(deployment, host)
            assert process.exit_code is None, "it ended before it was known"
            await direct.fetch_ticket([address])
            request = await direct.reserve("late", address)
            await direct.repeat_until(request, [address])
            assert request.is_answered, request.describe()
            assert await deployment.stop_host(host) == 0
            await callers.wait_each()
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_stop_needs_no_platform() -> None:
    """A host can't be stopped while the platform is down.

    The platform gives no answer when a host gets SIGTERM. The host must
    finish what it carries, hand the rest over and end as ever. Cause: a
    stop that waits until the platform's list shows it.
    """
    async with settled.run_settled(_make_plan()) as deployment:
        async with load_callers.run_callers(
            deployment, _SERVICE, _CALLERS
        ) as callers:
            await callers.wait_answered(_CALLERS)
            await deployment.platform.set_faults(down=True)
            process = deployment.hosts["entry-1"]
            process.send(signal.SIGTERM)
            await trio.sleep(0.5)
            await deployment.fabric.remove_host("entry-1")
            assert await process.wait(_STOP_LIMIT_S + _END_S) == 0
            await callers.wait_each()
    assert not callers.causes(), callers.causes()


@trios.trio_test
async def test_stop_ends_at_its_limit_whatever_runs() -> None:
    """A roll-out stands still since one request never ends.

    All upstreams swallow what they get, with longer limits than that of a
    stop. A host that waits for them must still end by itself at its limit.
    Cause: a graceful stop without a limit.
    """
    limits = contracts.Limits(upstream_timeout_s=600.0)
    async with settled.run_settled(_make_plan(limits)) as deployment:
        for upstream in deployment.upstreams:
            await upstream_control.set_faults(deployment, upstream, stall=True)
        async with raw_caller.open_raw_caller(seed=1) as direct:
            address = _find_address(deployment, "entry-1")
            for number in range(_CALLERS):
                await direct.fetch_ticket([address])
                await direct.reserve(f"stuck-{number}", address)
            process = deployment.hosts["entry-1"]
            process.send(signal.SIGTERM)
            await trio.sleep(0.5)
            await deployment.fabric.remove_host("entry-1")
            assert await process.wait(_STOP_LIMIT_S + _END_S) == 0


def _find_address(
    deployment: processes.Deployment, host: str
) -> raw_caller.Address:
    (planned,) = (h for h in deployment.plan.hosts if h.name == host)
    _, port = deployment.layout.service_address(_SERVICE)
    return (planned.address, port)


async def _wait_listed_as_leaving(
    deployment: processes.Deployment, host: str
) -> None:
    settings = deployment.platform.settings()
    key = keys.host_key(settings.prefix, ids.HostId(host))
    async with platform_opening.open_store(settings) as client:
        with trio.fail_after(_LIMIT_S):
            while True:
                found = await client.get(key)
                assert found is not None
                if json.loads(found.value)["state"] == _LEAVING:
                    return
                await trio.sleep(_POLL_S)


async def _wait_seen_as_leaving(
    deployment: processes.Deployment, host: str
) -> None:
    pages = deployment.pages
    await pages.wait(
        [name for name in deployment.hosts if name != host],
        lambda status: any(
            member["host"] == host and member["state"] == _LEAVING
            for member in status["members"]
        ),
        f"seeing {host} leave",
    )
