"""Tests of requests during a change of the contract in force."""

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
async def test_missing_contract_is_not_reported_as_not_run() -> None:
    """Guards against a second run during a change of contracts.

    The request ran and its reply was lost. The host that receives the next
    copy has no contract, because it was deleted or hasn't arrived yet.
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
        without_ticket = await world.send_request(POST, "/reserve")
        assert without_ticket.code is Code.SERVICE_UNAVAILABLE


@trios.clock_test
async def test_request_that_became_non_idempotent_requires_a_ticket() -> None:
    """Guards against a non-idempotent request that runs twice.

    The operators declare the call class non-idempotent while an attempt that
    started under the former contract waits for the keeper to receive the new
    one.
    """
    world = home_fakes.HomeWorld()
    stricter = home_fakes.make_contract().model_dump(mode="json")
    stricter["call_classes"][2]["idempotent"] = False
    body = json.dumps(stricter).encode()

    async def answer_stale(message: base.Message) -> base.Message:
        record = control.ContractRecord(
            home_fakes.SERVICE, ids.Revision(2), body
        )
        world.contracts.offer(record)
        return work.Dispatched(work.Outcome.STALE)

    world.handle_calls_with(answer_stale)
    async with world.running():
        reply = await world.send_request(Code.PUT, "/lots/1")
        assert reply.code is Code.SERVICE_UNAVAILABLE
        assert len(world.network.calls) == 1
        again = await world.send_request(Code.PUT, "/lots/1")
        assert again.code is Code.UNAUTHORIZED
