"""Answers that come late, twice, out of order or under a used token."""

from __future__ import annotations

import json

import trio

from persimmonhinge.contracts import contract as contracts
from tests.standins import answer_checks
from tests.standins import faults_rules as rules
from tests.standins import once_scene
from tests.standins import raw_request
from tests.support import trios

_SERVICE = once_scene.SERVICE
_CALLERS = 12
_ROUNDS = 3
_OCTETS = 6000
_REUSES = 12
# By then what waited at a host that was paused has come, seconds.
_LATE_S = 2.0


@trios.trio_test
async def test_callers_with_the_same_tokens_on_a_bad_network() -> None:
    """A buyer reads the answer to another buyer's request.

    Callers all draw the same tokens and message ids, and fetch large lists,
    book lots and upload at once. Between callers and hosts, and between
    hosts and upstreams, datagrams are lost, doubled and reordered. Each
    must get the whole answer to its own request, and nothing runs twice.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        deployment = scene.deployment
        await _put_proxy_before_upstreams(scene)
        await deployment.fabric.set_faults(
            loss=0.03, duplicate=0.2, reorder=0.3
        )
        address = deployment.layout.service_address(_SERVICE)
        checks = answer_checks.AnswerChecks(address, _SERVICE, seed=5)
        await checks.run(_CALLERS, _ROUNDS, _OCTETS)
        runs = scene.count_runs()
    assert all(count == 1 for count in runs.values()), runs
    assert set(runs) <= set(checks.keys)
    # Loss makes some uploads end as unknown; most have an answer.
    assert checks.checked > 0.8 * 3 * _CALLERS * _ROUNDS, checks.failed


@trios.trio_test
async def test_token_used_again_for_other_requests() -> None:
    """A buyer who books a second lot reads the answer to the first.

    One caller uses one token for all its requests, some under the same
    ticket, while each datagram goes to two hosts. Requests differ in their
    body alone: each must run once and get its own answer.
    """
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        caller = await scene.open_caller()
        hosts = scene.addresses()
        ticket = await caller.fetch_ticket(hosts)
        for number in range(_REUSES):
            if number % 3 == 0:
                ticket = await caller.fetch_ticket(hosts)
            request = caller.make_request(
                f"reuse-{number}", ticket=ticket, token=b"\x01"
            )
            await caller.send(request.octets, *hosts[:2])
            assert await caller.repeat_until(request, hosts)
            last = request.answers[-1]
            assert last.code.is_successful(), request.describe()
            assert json.loads(last.payload)["key"] == f"reuse-{number}"
        assert scene.count_runs() == {
            f"reuse-{number}": 1 for number in range(_REUSES)
        }


@trios.trio_test
async def test_token_used_again_while_a_copy_is_late() -> None:
    """A buyer who books a second lot reads the answer to the first."""
    async with once_scene.run_scene(once_scene.make_plan()) as scene:
        late = await scene.find_spare()
        home = next(n for n in scene.deployment.names() if n != late)
        (caller,) = await scene.open_callers(1, home)
        first = caller.make_request("lot-0", token=b"\x01")
        scene.deployment.pause_host(late)
        await caller.send(first.octets, scene.address(late))
        assert await caller.repeat_until(first, [scene.address(home)])
        second = caller.make_request("lot-1", token=b"\x01")
        assert await caller.repeat_until(second, [scene.address(home)])
        scene.deployment.resume_host(late)
        await trio.sleep(_LATE_S)
        assert _read_keys(first) == {"lot-0"}
        assert _read_keys(second) == {"lot-1"}
        assert scene.count_runs() == {"lot-0": 1, "lot-1": 1}


def _read_keys(request: raw_request.RawRequest) -> set[str]:
    return {json.loads(answer.payload)["key"] for answer in request.answers}


async def _put_proxy_before_upstreams(scene: once_scene.OnceScene) -> None:
    """Makes keepers reach the upstreams through the faulty proxy."""
    deployment = scene.deployment
    (service,) = deployment.plan.services
    contract = deployment.layout.make_contract(service)
    moved = []
    for upstream in contract.upstreams:
        name = f"upstream {upstream.id}"
        port = await deployment.proxy.add_udp(name, upstream.address.as_pair())
        place = contracts.Address(host="127.0.0.1", port=port)
        moved.append(upstream.model_copy(update={"address": place}))
        fault = rules.Fault(drop=0.02, duplicate=0.2, reorder=0.2)
        await deployment.proxy.set(fault, name=name)
    changed = contract.model_copy(update={"upstreams": tuple(moved)})
    await deployment.apply(changed)
