"""Tests of requests while the contract in force changes."""

from __future__ import annotations

import json

from aiocoap.numbers import codes

from persimmonhinge import ids
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import control
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

Code = codes.Code
POST = codes.Code.POST


@trios.clock_test
async def test_lost_contract_is_not_called_not_run() -> None:
    """A buyer reserves twice around a change of contracts.

    The request ran; its answer was lost, and the contract is deleted, or
    not yet known at the host that gets the next copy.
    """
    world = home_fakes.HomeWorld()
    world.handle_calls_with(home_fakes.answer_done)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", echo=echo)
        record = control.ContractRecord(
            home_fakes.SERVICE, ids.Revision(2), b""
        )
        world.contracts.offer(record)
        reply = await world.send_request(POST, "/reserve", echo=echo)
        assert reply.code is Code.GATEWAY_TIMEOUT
        bare = await world.send_request(POST, "/reserve")
        assert bare.code is Code.SERVICE_UNAVAILABLE


@trios.clock_test
async def test_work_that_became_non_idempotent_asks_for_a_ticket() -> None:
    """A call runs twice though its new contract forbids it.

    The operators declare it non-idempotent while an attempt, begun under
    the former contract, waits for the keeper to agree.
    """
    world = home_fakes.HomeWorld()
    stricter = home_fakes.make_contract().model_dump(mode="json")
    stricter["call_classes"][2]["idempotent"] = False
    body = json.dumps(stricter).encode()

    async def learn_late(message: base.Message) -> base.Message:
        record = control.ContractRecord(
            home_fakes.SERVICE, ids.Revision(2), body
        )
        world.contracts.offer(record)
        return work.Dispatched(work.Outcome.STALE)

    world.handle_calls_with(learn_late)
    async with world.running():
        reply = await world.send_request(Code.PUT, "/lots/1")
        assert reply.code is Code.SERVICE_UNAVAILABLE
        assert len(world.network.calls) == 1
        again = await world.send_request(Code.PUT, "/lots/1")
        assert again.code is Code.UNAUTHORIZED
