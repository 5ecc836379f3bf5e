"""Tests of the deadline that a caller tells."""

from __future__ import annotations

import aiocoap

from persimmonhinge.client import client as clients
from persimmonhinge.client import settings as client_settings
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts
from tests.support import trios
from tests.test_client import server as servers

_SETTINGS = client_settings.ClientSettings(ack_timeout_s=2.0, retry_s=0.05)
_DEADLINE_S = 20.0
_DELAY_MS = 50


@trios.trio_test
async def test_new_attempt_tells_the_time_that_is_left() -> None:
    """A reservation runs after its buyer has gone.

    It is refused as not run and sent again. Each attempt told the whole
    deadline anew, so the service queued it for longer than the buyer waits.
    """
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=_SETTINGS) as caller,
    ):
        await caller.request(contracts.Method.POST, "/lots/1", b"a")
        server.seen.clear()
        refusal = servers.make_answer(
            aiocoap.SERVICE_UNAVAILABLE, echo=servers.TICKET
        )
        refusal.opt.max_age = 0
        server.script = [refusal]
        server.dying = 1
        answer = await caller.request(
            contracts.Method.POST, "/lots/1", b"b", deadline_s=_DEADLINE_S
        )
    assert answer.successful
    told_ms = [codec.read_deadline_ms(message) for message in server.seen]
    first_ms, copy_ms, second_ms = told_ms
    assert first_ms is not None
    assert copy_ms == first_ms
    assert second_ms is not None
    assert second_ms <= first_ms - _DELAY_MS
