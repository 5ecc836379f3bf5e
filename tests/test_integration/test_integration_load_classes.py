"""The most valuable calls go first, and no slot waits for who is gone."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.client import answer as answers
from persimmonhinge.client import client as clients
from persimmonhinge.client import settings as client_settings
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.load import run as load_runs
from persimmonhinge.load import verdict as verdicts
from persimmonhinge.settings import load as load_settings
from tests.standins import processes
from tests.standins import raw_caller
from tests.standins import upstream_control
from tests.support import trios
from tests.test_integration import load_plans
from tests.test_integration import settled

_CLIENT = client_settings.ClientSettings(ack_timeout_s=0.5)
_POST = contracts.Method.POST
_DURATION_S = 5.0
_QUEUED = 8


def _make_load(deployment: processes.Deployment) -> load_settings.LoadSettings:
    """Returns twice what the slots can do, a fifth of it reservations."""
    host, port = deployment.layout.service_address(load_plans.SERVICE)
    kinds = (("lots", 12.0), ("manifests", 48.0))
    requests = tuple(
        load_settings.RequestLoad(
            kind=kind,
            path=f"/{kind}/{{number}}",
            rate=rate,
            callers=20,
            deadline_s=3.0,
        )
        for kind, rate in kinds
    )
    service = load_settings.ServiceLoad(
        service=load_plans.SERVICE,
        address=contracts.Address(host=host, port=port),
        requests=requests,
    )
    return load_settings.LoadSettings(
        duration_s=_DURATION_S,
        ramp_s=0.0,
        client=_CLIENT,
        services=(service,),
    )


@trios.trio_test
async def test_reservations_go_before_manifests_and_both_progress() -> None:
    """Manifests fill all queues, and buyers can't reserve.

    Growers send more than twice what the slots can do. Reservations must
    all be served; manifests must get their share, and who is refused must
    not have run.
    """
    plan = load_plans.make_plan(slots=2, run_time_ms=200.0)
    async with settled.run_settled(plan) as deployment:
        load = load_runs.LoadRun(_make_load(deployment))
        await load.run()
        executions = load_plans.read_log(deployment, "run")
    verdict = verdicts.judge(load.book.requests, executions)
    assert verdict.clean, verdict
    found = {
        kind: [r for r in load.book.requests if r.kind == kind]
        for kind in ("lots", "manifests")
    }
    lots = sum(record.successful for record in found["lots"])
    assert lots >= 0.95 * len(found["lots"]), load.book.count_causes()
    manifests = sum(record.successful for record in found["manifests"])
    # 30 runs a second, and 12 lots among them.
    assert manifests >= 0.2 * 30 * _DURATION_S, load.book.count_causes()
    assert manifests < len(found["manifests"])


@trios.trio_test
async def test_deadline_that_can_not_be_met_is_refused_at_once() -> None:
    """A buyer waits to the end of the deadline for a refusal.

    All slots are held by slow requests. One whose deadline ends before any
    of them must be told so while they still run, with a time to come back,
    and must never run.
    """
    plan = load_plans.make_plan((1, 0, 0), slots=1)
    async with settled.run_settled(plan) as deployment:
        address = deployment.layout.service_address(load_plans.SERVICE)
        async with (
            trio.open_nursery() as nursery,
            clients.open_client(address, settings=_CLIENT) as caller,
        ):
            await _learn_costs(deployment, caller)
            for number in range(_QUEUED):
                body = b'{"key": "long-%d"}' % number
                nursery.start_soon(caller.request, _POST, "/lots/1", body)
            await _wait_busy(deployment)
            refused = await caller.request(
                _POST, "/lots/1", b'{"key": "short"}', deadline_s=1.0
            )
            running = await _count_running(deployment)
            nursery.cancel_scope.cancel()
        keys = [e.key for e in load_plans.read_log(deployment, "run")]
    assert refused.outcome is answers.Outcome.REFUSED, refused
    assert refused.retry_after_s >= 1
    assert running == len(deployment.upstreams)
    assert "short" not in keys


async def _learn_costs(
    deployment: processes.Deployment, caller: clients.Client
) -> None:
    """Makes upstreams slow, and has their keepers see it."""
    for name in deployment.upstreams:
        await upstream_control.set_faults(deployment, name, slow=50.0)
    async with trio.open_nursery() as nursery:
        for number in range(4):
            body = b'{"key": "first-%d"}' % number
            nursery.start_soon(caller.request, _POST, "/lots/1", body)


async def _count_running(deployment: processes.Deployment) -> int:
    total = 0
    for name in deployment.upstreams:
        stats = await upstream_control.read_stats(deployment, name)
        total += stats["running"]
    return total


async def _wait_busy(deployment: processes.Deployment) -> None:
    with trio.fail_after(10):
        while await _count_running(deployment) < len(deployment.upstreams):
            await trio.sleep(0.05)


@trios.trio_test
async def test_cancelled_requests_leave_the_queue() -> None:
    """Callers that went away keep a queue full of work for nobody.

    Eight requests wait for one slot, and their callers reset them. What
    comes after must run next, and none of the eight ever runs.
    """
    plan = load_plans.make_plan((1, 0, 0), slots=1, run_time_ms=2000.0)
    async with settled.run_settled(plan) as deployment:
        _, port = deployment.layout.service_address(load_plans.SERVICE)
        host = (deployment.plan.hosts[0].address, port)
        async with raw_caller.open_raw_caller(1) as caller:
            await caller.fetch_ticket([host])
            running = await caller.reserve("running", host)
            await _wait_busy(deployment)
            queued = [
                await caller.reserve(f"gone-{number}", host)
                for number in range(_QUEUED)
            ]
            await _wait_queued(deployment, _QUEUED)
            for request in queued:
                await caller.send(_make_reset(request.octets), host)
            await _wait_queued(deployment, 0)
            last = await caller.reserve("last", host)
            assert await caller.repeat_until(last, [host])
        assert running.answers
        keys = [e.key for e in load_plans.read_log(deployment, "run")]
    assert keys == ["running", "last"]


def _make_reset(octets: bytes) -> bytes:
    """Returns the reset of a message."""
    message = codec.Message(code=aiocoap.EMPTY)
    message.mtype = aiocoap.RST
    message.mid = codec.decode(octets).mid
    message.token = b""
    return codec.encode(message)


async def _wait_queued(deployment: processes.Deployment, count: int) -> None:
    """Waits until the keeper of the one upstream has so much waiting.

    Other hosts hear of it too late: the queue changes within 2 s.
    """
    pages = deployment.pages
    status = await pages.status(next(iter(deployment.hosts)))
    (upstream,) = status["upstreams"]
    await pages.wait(
        [upstream["keeper"]],
        lambda status: (
            sum(u["queued"] or 0 for u in status["upstreams"]) == count
        ),
        f"{count} waiting",
    )
