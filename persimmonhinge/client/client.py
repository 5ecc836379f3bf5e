"""The caller of a service: requests and feeds on one flow."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import random
import socket as sockets

import aiocoap
import trio

from persimmonhinge.client import answer as answers
from persimmonhinge.client import blocks
from persimmonhinge.client import call as calls
from persimmonhinge.client import channel as channels
from persimmonhinge.client import errors
from persimmonhinge.client import exchange as exchanges
from persimmonhinge.client import feed as feeds
from persimmonhinge.client import settings as client_settings
from persimmonhinge.client import tickets
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts

_MOST_ATTEMPTS = 4
_MS_PER_S = 1000


class Client:
    """Calls one service from one socket, which makes it one flow.

    Use `open_client`. Requests and feeds may go on side by side.
    """

    def __init__(
        self,
        channel: channels.Channel,
        settings: client_settings.ClientSettings,
        random_source: random.Random,
    ) -> None:
        self._channel = channel
        self._settings = settings
        self._random = random_source
        self._tickets = tickets.TicketHolder(settings.ticket_use_s)

    async def request(
        self,
        method: contracts.Method,
        path: str,
        payload: bytes = b"",
        *,
        deadline_s: float | None = None,
    ) -> answers.Answer:
        """Sends a request and waits for its outcome.

        A cancelled request is forgotten: an answer that still comes is
        reset.

        Args:
            method: CoAP method.
            path: Path with leading slash.
            payload: The whole body; a large one goes in blocks.
            deadline_s: Time in which the answer is of use, seconds; it is
                told to the service. None for that of the settings.
        """
        limit_s = deadline_s or self._settings.deadline_s
        deadline_ms = int(limit_s * _MS_PER_S)
        host = self._settings.host
        call = calls.Call(method, path, payload, deadline_ms, host)
        deadline = trio.current_time() + limit_s
        return await self._call(call, deadline)

    @contextlib.asynccontextmanager
    async def observe(
        self, path: str, *, leave: feeds.Leave = feeds.Leave.DEREGISTER
    ) -> AsyncIterator[feeds.Feed]:
        """Opens a feed; its first notification registers it.

        Args:
            path: Path with leading slash.
            leave: How the feed is ended.

        Raises:
            FeedEndedError: While iterating: the service ended the feed.
        """
        feed = feeds.Feed(
            self._channel, self._tickets, self._settings, self._random, path
        )
        try:
            yield feed
        finally:
            await feed.leave(leave)

    async def _call(self, call: calls.Call, deadline: float) -> answers.Answer:
        for attempt in range(1, _MOST_ATTEMPTS + 1):
            call = _tell_time_left(call, deadline)
            ticket = self._tickets.get()
            message: codec.Message | None = None
            try:
                with trio.move_on_at(deadline + self._settings.grace_s):
                    message = await self._attempt(call, ticket)
            except errors.BodyChangedError:
                if not call.idempotent:
                    break
                continue
            if message is None:
                # Its home may be cut off from the hosts that still serve.
                # They can't decide on requests with this ticket, so the next
                # request would wait until its deadline, too.
                self._tickets.drop(ticket)
                break
            renewed = self._tickets.take(message)
            if _is_to_come_back_at_once(message) and attempt < _MOST_ATTEMPTS:
                if not renewed:
                    self._tickets.drop(ticket)
                continue
            if message.code is not aiocoap.UNAUTHORIZED:
                return answers.read_answer(message)
            if not message.opt.echo:
                return answers.read_answer(message)
            # Guards against a second run: without a ticket nothing ran,
            # but another copy of a request that had one may have run
            # before this copy met a host that no longer takes the ticket.
            if ticket and not call.idempotent:
                break
        return answers.Answer(answers.Outcome.UNKNOWN)

    async def _attempt(self, call: calls.Call, ticket: bytes) -> codec.Message:
        """Sends a request under a new token; returns the whole answer."""
        with self._channel.open_inbox() as inbox:
            exchange = exchanges.Exchange(
                self._channel, inbox, self._settings, self._random
            )
            first = await blocks.send_body(
                exchange, call, ticket, self._settings.block_exponent
            )
            return await blocks.receive_body(exchange, call, ticket, first)


def _tell_time_left(call: calls.Call, deadline: float) -> calls.Call:
    """Returns a call that tells the time that is left now.

    Guards against work that runs when nobody waits for it any more: a new
    attempt that told the whole deadline again would be queued for so long.
    """
    left_ms = int((deadline - trio.current_time()) * _MS_PER_S)
    return dataclasses.replace(call, deadline_ms=max(1, left_ms))


def _is_to_come_back_at_once(message: codec.Message) -> bool:
    """Tells whether it did not run only because its home or keeper left."""
    if message.code is not aiocoap.SERVICE_UNAVAILABLE:
        return False
    return bool(message.opt.max_age == 0)


@contextlib.asynccontextmanager
async def open_client(
    address: tuple[str, int],
    *,
    settings: client_settings.ClientSettings | None = None,
    random_source: random.Random | None = None,
) -> AsyncIterator[Client]:
    """Opens a caller with a socket of its own.

    Args:
        address: IP address and UDP port of the service.
        settings: Timing; None for the defaults.
        random_source: Source of tokens and jitter; None for one that cannot
            be foretold. Tests give a seeded one.
    """
    source = random_source or random.SystemRandom()
    family = sockets.AF_INET6 if ":" in address[0] else sockets.AF_INET
    with trio.socket.socket(family, sockets.SOCK_DGRAM) as socket:
        await socket.connect(address)
        channel = channels.Channel(socket, source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.run)
            yield Client(
                channel,
                settings or client_settings.ClientSettings(),
                source,
            )
            nursery.cancel_scope.cancel()
