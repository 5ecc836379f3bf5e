"""The socket of a caller: one flow, with answers sorted by token."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import contextlib
import logging
import random

import aiocoap
import trio

from persimmonhinge import errors
from persimmonhinge.client import inbox as inboxes
from persimmonhinge.coap import codec

logger = logging.getLogger(__name__)

_TOKEN_OCTETS = 8
_MESSAGE_IDS = 1 << 16
_FINISHED_TOKENS = 256


class Channel:
    """Sends and receives the datagrams of one flow.

    Answers go to the inbox of their token and to no other, whatever their
    message id is: late, duplicated and crossed ones find their own request
    or none.
    """

    def __init__(
        self, socket: trio.socket.SocketType, random_source: random.Random
    ) -> None:
        self._socket = socket
        self._random = random_source
        self._message_id = random_source.randrange(_MESSAGE_IDS)
        self._by_token: dict[bytes, inboxes.Inbox] = {}
        self._by_message_id: dict[int, inboxes.Inbox] = {}
        self._finished: collections.deque[bytes] = collections.deque(
            maxlen=_FINISHED_TOKENS
        )

    @contextlib.contextmanager
    def open_inbox(self) -> Iterator[inboxes.Inbox]:
        """Opens an inbox with a new token.

        Leaving it with an error, as a cancelled request does, makes a later
        confirmable answer be reset, which tells the service to let it go.
        """
        inbox = inboxes.Inbox(self._random.randbytes(_TOKEN_OCTETS))
        self._by_token[inbox.token] = inbox
        try:
            yield inbox
            self._finished.append(inbox.token)
        finally:
            del self._by_token[inbox.token]
            self._drop_message_id(inbox)

    def assign_message_id(
        self, message: codec.Message, inbox: inboxes.Inbox
    ) -> None:
        """Gives a message the next message id and expects its ACK."""
        self._drop_message_id(inbox)
        self._message_id = (self._message_id + 1) % _MESSAGE_IDS
        message.mid = self._message_id
        inbox.message_id = message.mid
        self._by_message_id[message.mid] = inbox

    def _drop_message_id(self, inbox: inboxes.Inbox) -> None:
        if self._by_message_id.get(inbox.message_id) is inbox:
            del self._by_message_id[inbox.message_id]

    async def send(self, data: bytes) -> None:
        """Sends one datagram; what is lost is for the retransmission."""
        try:
            await self._socket.send(data)
        except OSError as error:
            # Shows as "connection refused" while nothing is bound to the
            # service's address; the next retransmission tries again.
            logger.debug("A datagram was not sent: %s.", error)

    async def run(self) -> None:
        """Receives datagrams until cancelled."""
        while True:
            try:
                data = await self._socket.recv(codec.MAX_DATAGRAM_OCTETS + 1)
            except OSError as error:
                # The kernel reports an ICMP error of an earlier datagram.
                logger.debug("A datagram was not received: %s.", error)
                continue
            try:
                message = codec.decode(data)
            except errors.MalformedDatagramError as error:
                logger.warning("Dropped a datagram: %s.", error)
                continue
            await self._sort(message)

    async def _sort(self, message: codec.Message) -> None:
        if message.code is aiocoap.EMPTY:
            await self._sort_empty(message)
            return
        if not message.code.is_response():
            await self._reply(message, aiocoap.RST)
            return
        inbox = self._by_token.get(message.token)
        if inbox is not None:
            inbox.put(message)
        if message.mtype is aiocoap.CON:
            known = inbox is not None or message.token in self._finished
            await self._reply(message, aiocoap.ACK if known else aiocoap.RST)
        elif inbox is None and message.opt.observe is not None:
            # RFC 7641, 3.6: ends an observation that nobody here wants.
            await self._reply(message, aiocoap.RST)

    async def _sort_empty(self, message: codec.Message) -> None:
        if message.mtype is aiocoap.CON:
            await self._reply(message, aiocoap.RST)
            return
        inbox = self._by_message_id.get(message.mid)
        if inbox is not None:
            inbox.put(message)

    async def _reply(self, message: codec.Message, kind: aiocoap.Type) -> None:
        if message.mtype not in (aiocoap.CON, aiocoap.NON):
            return
        reply = codec.Message(code=aiocoap.EMPTY)
        reply.mtype = kind
        reply.mid = message.mid
        await self.send(codec.encode(reply))
