"""Tests of one message and its answer, without a network."""

from __future__ import annotations

import random

import aiocoap
import trio
import trio.testing

from persimmonhinge.client import exchange as exchanges
from persimmonhinge.client import inbox as inboxes
from persimmonhinge.client import settings as client_settings
from persimmonhinge.coap import codec

_STALL_S = 60.0


class AnsweringChannel:
    """Answers each message at once."""

    def __init__(self, inbox: inboxes.Inbox) -> None:
        self._inbox = inbox

    def assign_message_id(
        self, message: codec.Message, inbox: inboxes.Inbox
    ) -> None:
        """Gives a message an id."""
        message.mid = 1

    async def send(self, data: bytes) -> None:
        """Takes a message, and has its answer come."""
        self._inbox.put(codec.Message(code=aiocoap.CONTENT))


def test_stall_between_two_answers_is_not_an_error_of_the_caller() -> None:
    """A reservation ends with a ValueError on a busy machine.

    An answer that belongs to another request comes, and the process stands
    still past the time of the next retransmission before it looks for the
    next answer. Cause: a wait for a time that is below zero.
    """
    clock = trio.testing.MockClock()
    inbox = inboxes.Inbox(b"t")
    stalls = iter((True, False))

    def accepts(message: codec.Message) -> bool:
        if next(stalls):
            clock.jump(_STALL_S)
            return False
        return True

    async def ask() -> codec.Message:
        exchange = exchanges.Exchange(
            AnsweringChannel(inbox),  # type: ignore[arg-type]
            inbox,
            client_settings.ClientSettings(),
            random.Random(1),
        )
        message = codec.Message(
            code=aiocoap.POST, mtype=aiocoap.CON, token=b"t"
        )
        return await exchange.ask(message, accepts)

    answer = trio.run(ask, clock=clock)
    assert answer.code is aiocoap.CONTENT
