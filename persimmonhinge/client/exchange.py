"""One message sent until its answer comes (RFC 7252, 4.2)."""

from __future__ import annotations

from collections.abc import Callable
import random

import aiocoap
import trio

from persimmonhinge.client import channel as channels
from persimmonhinge.client import inbox as inboxes
from persimmonhinge.client import settings as client_settings
from persimmonhinge.coap import codec

Accepts = Callable[[codec.Message], bool]


class Exchange:
    """Sends messages under one token and waits for their answers."""

    def __init__(
        self,
        channel: channels.Channel,
        inbox: inboxes.Inbox,
        settings: client_settings.ClientSettings,
        random_source: random.Random,
    ) -> None:
        self._channel = channel
        self._inbox = inbox
        self._settings = settings
        self._random = random_source

    @property
    def token(self) -> bytes:
        """The token of all messages of this exchange."""
        return self._inbox.token

    async def ask(
        self, message: codec.Message, accepts: Accepts
    ) -> codec.Message:
        """Sends a message, with retries, until an answer is accepted.

        It never gives up: the caller sets the time limit.

        Guards against a host that acknowledges a request and dies before it
        answers: the answer would never come. The request is sent again with
        the same token and ticket, by which the service sees that it is the
        same request, and with a new message id, because the old one has
        been acknowledged.

        Args:
            message: The message; its message id is set here.
            accepts: Tells whether an answer is the one for this message.
        """
        while True:
            self._channel.assign_message_id(message, self._inbox)
            answer = await self._transmit(codec.encode(message), accepts)
            if answer is None:
                answer = await self._wait_answer(accepts)
            if answer is not None:
                return answer

    async def _transmit(
        self, data: bytes, accepts: Accepts
    ) -> codec.Message | None:
        """Retransmits until answer, ACK or RST; None without an answer."""
        wait_s = self._settings.ack_timeout_s * self._random.uniform(
            1, self._settings.ack_random_factor
        )
        for _ in range(self._settings.max_retransmit + 1):
            await self._channel.send(data)
            message = await self._receive(wait_s, accepts, empty_counts=True)
            if message is not None:
                return None if message.code is aiocoap.EMPTY else message
            wait_s *= 2
        return None

    async def _wait_answer(self, accepts: Accepts) -> codec.Message | None:
        return await self._receive(
            self._settings.retry_s, accepts, empty_counts=False
        )

    async def _receive(
        self, limit_s: float, accepts: Accepts, *, empty_counts: bool
    ) -> codec.Message | None:
        # One limit for the whole wait. Guards against a wait for what is left
        # of it: that is below zero where the process stood still between two
        # messages, which trio refuses, and the caller's request failed.
        with trio.move_on_after(limit_s):
            while True:
                message = await self._inbox.receive()
                if message.code is aiocoap.EMPTY:
                    if empty_counts:
                        return message
                elif accepts(message):
                    return message
        return None
