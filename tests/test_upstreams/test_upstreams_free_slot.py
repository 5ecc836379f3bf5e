"""Tests of requests that need a free slot and do not wait in the queue."""

from __future__ import annotations

import msgspec
import trio

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_upstreams import scene

_RUNS = 2


@trios.trio_test
async def test_request_answered_busy_may_be_dispatched_again() -> None:
    """A request answered BUSY must not run twice, but may be dispatched again.

    After BUSY from a full upstream, the home tries another upstream or this
    one again. A copy of the first dispatch, delayed by a broken link, must not
    run; a later dispatch must run.
    """
    standins = scene.open_standin(run_time_ms=300.0)
    async with scene.open_scene() as here, standins as standin:
        contract = scene.make_contract({"u1": standin.port})
        here.store.offer(scene.make_record(contract, 1))
        async with trio.open_nursery() as nursery:
            for number in range(_RUNS):
                dispatch = scene.make_dispatch(number=number)
                nursery.start_soon(here.call_keeper, dispatch)
            while not _is_full(here):
                await trio.sleep(0.001)
            first = scene.make_dispatch(number=9, waits=False)
            answer = await here.call_keeper(first)
            assert answer.outcome is work.Outcome.BUSY
            assert answer.load.busy == _RUNS
        copy = await here.call_keeper(
            msgspec.structs.replace(first, waits=True)
        )
        assert copy.outcome is work.Outcome.NOT_RUN
        again = await here.call_keeper(
            scene.make_dispatch(number=9, waits=False)
        )
        assert again.outcome is work.Outcome.ANSWERED
        runs = [line["key"] for line in standin.read_log()]
    assert runs.count("key-9") == 1
    assert answer.load.upstream == ids.UpstreamId("u1")


def _is_full(here: scene.Scene) -> bool:
    return any(load.busy == _RUNS for load in here.keeper.list_loads())
