"""A feed: the notifications of an observed resource (RFC 7641)."""

from __future__ import annotations

import contextlib
import enum
import logging
import random

import aiocoap
import trio

from persimmonhinge.client import answer as answers
from persimmonhinge.client import blocks
from persimmonhinge.client import call as calls
from persimmonhinge.client import channel as channels
from persimmonhinge.client import errors
from persimmonhinge.client import exchange as exchanges
from persimmonhinge.client import inbox as inboxes
from persimmonhinge.client import notification as notifications
from persimmonhinge.client import order as orders
from persimmonhinge.client import settings as client_settings
from persimmonhinge.client import tickets
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts

logger = logging.getLogger(__name__)

_REGISTER = 0
_DEREGISTER = 1


class Leave(enum.Enum):
    """How a caller ends a feed.

    DEREGISTER: By GET with Observe 1 (RFC 7641, 3.6).
    RESET: By a reset of the next notification.
    """

    DEREGISTER = "deregister"
    RESET = "reset"


class Feed:
    """An asynchronous iterator of notifications, newest last.

    Attributes:
        renewals: How often the feed was registered again.
    """

    def __init__(
        self,
        channel: channels.Channel,
        holder: tickets.TicketHolder,
        settings: client_settings.ClientSettings,
        random_source: random.Random,
        path: str,
    ) -> None:
        self.renewals = 0
        self._channel = channel
        self._tickets = holder
        self._settings = settings
        self._random = random_source
        self._call = calls.Call(contracts.Method.GET, path, host=settings.host)
        self._stack = contextlib.ExitStack()
        self._inbox: inboxes.Inbox
        self._order: orders.NotificationOrder
        self._registered = False
        self._renewed = False
        self._max_age_s = 0
        self._ticket = b""
        self._start_anew()

    @property
    def token(self) -> bytes:
        """Token of the present registration, by which hosts log the feed."""
        return self._inbox.token

    def __aiter__(self) -> Feed:
        return self

    async def __anext__(self) -> notifications.Notification:
        while True:
            message = await self._receive()
            if message.code.is_successful():
                if self._is_newer(message):
                    return await self._read(message)
            else:
                await self._handle_error(message)

    async def leave(self, way: Leave) -> None:
        """Ends the feed; answers that come later are reset."""
        if way is Leave.DEREGISTER and self._registered:
            with trio.move_on_after(self._settings.leave_s) as scope:
                scope.shield = True
                await self._ask(_DEREGISTER)
        self._registered = False
        self._forget_token()

    def _start_anew(self) -> None:
        """Goes on under a new token.

        Guards against a late copy of the answer that refused the former
        registration: under the same token it would end the new one too.
        """
        self._forget_token()
        self._inbox = self._stack.enter_context(self._channel.open_inbox())
        self._order = orders.NotificationOrder()
        self._registered = False
        self._renewed = False
        self._max_age_s = 0

    def _register_anew(self) -> None:
        """Goes on under a new token after the service ended the feed."""
        self.renewals += 1
        self._start_anew()
        self._renewed = True

    def _forget_token(self) -> None:
        # An error on the way out marks the token as given up, so that a
        # notification for it is reset rather than acknowledged.
        with contextlib.suppress(_ForgottenError), self._stack:
            raise _ForgottenError
        self._stack = contextlib.ExitStack()

    async def _receive(self) -> codec.Message:
        if not self._registered:
            message = await self._ask(_REGISTER)
            self._registered = True
            return message
        limit_s = self._settings.silent_s + self._max_age_s
        received = await self._inbox.receive_answer(limit_s)
        if received is not None:
            return received
        logger.info("Nothing came on a feed: registering again.")
        self.renewals += 1
        self._renewed = True
        return await self._ask(_REGISTER)

    async def _ask(self, observe: int) -> codec.Message:
        self._ticket = self._tickets.get()
        message = self._call.build(self._inbox.token, self._ticket)
        message.opt.observe = observe
        return await self._open_exchange(self._inbox).ask(message, _accept_any)

    def _open_exchange(self, inbox: inboxes.Inbox) -> exchanges.Exchange:
        return exchanges.Exchange(
            self._channel, inbox, self._settings, self._random
        )

    def _is_newer(self, message: codec.Message) -> bool:
        self._tickets.take(message)
        self._max_age_s = message.opt.max_age or 0
        if message.opt.observe is None:
            return True
        return self._order.take(message.opt.observe, trio.current_time())

    async def _read(self, message: codec.Message) -> notifications.Notification:
        renewed = self._renewed
        self._renewed = False
        whole = await self._read_rest(message)
        return notifications.Notification(
            whole.payload,
            message.opt.observe,
            message.code,
            renewed,
            message.mtype is aiocoap.ACK,
        )

    async def _read_rest(self, message: codec.Message) -> codec.Message:
        """Asks for later blocks under a token of their own (RFC 7959, 2.6)."""
        if message.opt.block2 is None or not message.opt.block2.more:
            return message
        first = message
        while True:
            with self._channel.open_inbox() as inbox:
                exchange = self._open_exchange(inbox)
                ticket = self._tickets.get()
                try:
                    return await blocks.receive_body(
                        exchange, self._call, ticket, first
                    )
                except errors.BodyChangedError:
                    # The resource moved on between two blocks.
                    first = await exchange.ask(
                        self._call.build(inbox.token, ticket), _accept_any
                    )

    async def _answer_challenge(self) -> None:
        """Registers with the new ticket, at once if it is the first.

        Guards against a service that takes none of its own tickets: caller
        and service would go round as fast as the network lets them.
        """
        refused = bool(self._ticket)
        self._start_anew()
        if refused:
            await trio.sleep(self._settings.retry_s)

    async def _handle_error(self, message: codec.Message) -> None:
        has_ticket = self._tickets.take(message)
        answer = answers.read_answer(message)
        if message.code is aiocoap.UNAUTHORIZED and has_ticket:
            await self._answer_challenge()
        elif answer.outcome is answers.Outcome.REFUSED:
            self._register_anew()
            await trio.sleep(answer.retry_after_s)
        elif answer.outcome is answers.Outcome.UNKNOWN:
            self._register_anew()
            await trio.sleep(self._settings.retry_s)
        else:
            raise errors.FeedEndedError(answer, peer=self._call.path)


class _ForgottenError(Exception):
    """Leaves an inbox as an error does."""


def _accept_any(answer: codec.Message) -> bool:
    return True
