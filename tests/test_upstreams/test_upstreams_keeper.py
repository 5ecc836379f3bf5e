"""Tests of a keeper against upstream stand-ins."""

from __future__ import annotations

import json

import aiocoap
import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_upstreams import scene

Outcome = work.Outcome


@trios.trio_test
async def test_keeper_runs_a_reservation_and_reports_load() -> None:
    async with scene.open_standin() as standin, scene.open_scene() as env:
        contract = scene.make_contract({"u1": standin.port})
        env.store.offer(scene.make_record(contract, 1))
        result = await env.call_keeper(scene.make_dispatch())
        assert result.outcome is Outcome.ANSWERED, result
        answer = codec.decode(result.answer, limit=codec.MAX_WHOLE_OCTETS)
        assert json.loads(answer.payload)["key"] == "key-1"
        assert result.load is not None
        assert result.load.upstream == "u1"
        [run] = standin.read_log()
        assert run["uri_host"] == scene.SERVICE
        report = await env.call_keeper(work.LoadQuery())
        assert [load.upstream for load in report.loads] == ["floor-trading/u1"]


@trios.trio_test
async def test_keeper_joins_copies_of_a_request() -> None:
    """Guards against a request that runs once per copy.

    A home loses its link and dispatches the same reservation again. Without
    the table of executed requests the lot would be reserved twice and the
    buyer billed twice.
    """
    results: list[work.Dispatched] = []
    async with scene.open_standin() as standin, scene.open_scene() as env:
        contract = scene.make_contract({"u1": standin.port})
        env.store.offer(scene.make_record(contract, 1))

        async def dispatch_request() -> None:
            results.append(await env.call_keeper(scene.make_dispatch()))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(dispatch_request)
            nursery.start_soon(dispatch_request)
        await dispatch_request()
        assert len(standin.read_log()) == 1
        assert {result.answer for result in results} == {results[0].answer}


@trios.trio_test
async def test_keeper_moves_large_bodies_in_blocks_both_ways() -> None:
    async with scene.open_standin() as standin, scene.open_scene() as env:
        contract = scene.make_contract({"u1": standin.port})
        env.store.offer(scene.make_record(contract, 1))
        upload = scene.make_dispatch(
            call_class=ids.CallClassName("manifests"),
            request=scene.make_request("/manifests", b"x" * 10_000),
            idempotent=True,
        )
        result = await env.call_keeper(upload)
        answer = codec.decode(result.answer, limit=codec.MAX_WHOLE_OCTETS)
        assert json.loads(answer.payload)["octets"] == 10_000
        download = scene.make_dispatch(
            call_class=ids.CallClassName("reads"),
            request=scene.make_request("/large/5000", code=aiocoap.GET),
            idempotent=True,
        )
        result = await env.call_keeper(download)
        answer = codec.decode(result.answer, limit=codec.MAX_WHOLE_OCTETS)
        assert len(answer.payload) == 5_000
        assert answer.opt.block2 is None


@trios.trio_test
async def test_keeper_refuses_upstreams_that_it_does_not_keep() -> None:
    async with scene.open_scene() as env:
        contract = scene.make_contract({"u1": 9})
        env.store.offer(scene.make_record(contract, 3))
        newer = scene.make_dispatch(revision=ids.Revision(4))
        assert (await env.call_keeper(newer)).outcome is Outcome.STALE
        other = scene.make_dispatch("u2")
        assert (await env.call_keeper(other)).outcome is Outcome.STALE
        for number in range(2, 40):
            env.view.put(scene.make_member(f"east-{number}"))
        result = await env.call_keeper(scene.make_dispatch())
        assert result.outcome is Outcome.NOT_KEEPER
        assert result.keeper.startswith("east-")


@trios.trio_test
async def test_cancel_reaches_the_upstream_and_frees_its_slot() -> None:
    """Guards against slots occupied by cancelled requests.

    A caller disconnects while its upload runs for a minute. Without a
    cancellation at the upstream, the slot would be occupied for that minute.
    """
    async with scene.open_standin(run_time_ms=60_000.0) as standin:
        async with scene.open_scene() as env:
            contract = scene.make_contract({"u1": standin.port})
            env.store.offer(scene.make_record(contract, 1))
            upload = scene.make_dispatch(
                call_class=ids.CallClassName("manifests"),
                request=scene.make_request("/manifests", b"body"),
                idempotent=True,
                deadline_ms=120_000,
            )
            async with env.network.open_call(upload):
                with trio.fail_after(5):
                    while not standin.read_log():
                        await trio.sleep(0.01)
                assert env.keeper.list_loads()[0].busy == 1
            with trio.fail_after(5):
                while env.keeper.list_loads()[0].busy:
                    await trio.sleep(0.01)
