"""CoAP message layer of one socket to an upstream."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import math
import random
import secrets
from typing import Protocol

import aiocoap
import trio

from persimmonhinge import errors
from persimmonhinge.coap import codec
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.upstreams import listener as listener_module
from persimmonhinge.upstreams import message_ids
from persimmonhinge.upstreams import upstream_socket

logger = logging.getLogger(__name__)

_TOKEN_OCTETS = 8
_MAX_FINISHED_TOKENS = 4096


class Sender(Protocol):
    """The sender of a message, which waits for its acknowledgement.

    Attributes:
        token: The token of the message.
    """

    token: bytes

    def handle_acknowledgement(self) -> None:
        """Handles an acknowledgement of the message."""

    def handle_reset(self) -> None:
        """Handles a reset of the message."""

    def handle_refusal(self) -> None:
        """Handles an ICMP error that reports a closed port."""


class Endpoint:
    """Matches datagrams of an upstream to the messages sent to it.

    Answers are matched by token alone. Tokens are random, so that a late
    answer, an answer to another request, or an answer to a program that used
    the local port before, does not match a pending request.

    Attributes:
        last_received_at: Time at which the last valid datagram was received.
        peer: Address of the upstream, for error and log messages.
    """

    def __init__(
        self,
        socket: upstream_socket.UpstreamSocket,
        peer: str,
        may_send: Callable[[], bool],
        counts: counts_module.Counts,
        randomness: random.Random,
    ) -> None:
        self.last_received_at = -math.inf
        self.peer = peer
        self._socket = socket
        self._may_send = may_send
        self._counts = counts
        self._ids = message_ids.MessageIds(
            randomness.getrandbits(16), trio.current_time
        )
        self._listeners: dict[bytes, listener_module.Listener] = {}
        self._senders: dict[int, Sender] = {}
        self._finished: dict[bytes, None] = {}

    @property
    def is_idle(self) -> bool:
        """True if no listener is registered for any token."""
        return not self._listeners

    @property
    def is_exhausted(self) -> bool:
        """True if no message id is free at present."""
        return self._ids.is_exhausted()

    async def run(self) -> None:
        """Receives and handles datagrams until the endpoint is closed."""
        while True:
            try:
                events = await self._socket.receive()
            except trio.ClosedResourceError:
                return
            for event in events:
                self._handle_event_safely(event)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def send(self, message: codec.Message) -> bool:
        """Sends a message whose type, message id and token are set.

        Prevents a datagram for one service from reaching another service:
        an address may be reassigned to another service while a request is
        still being retransmitted. So each datagram is sent only if the
        address still belongs to the service.

        Returns:
            False if the address no longer belongs to the service, so that
            the message was not sent.
        """
        if not self._may_send():
            self._counts.add("upstream_datagrams_withheld_total")
            return False
        self._socket.send(codec.encode(message))
        return True

    def send_empty(self, message_type: aiocoap.Type, message_id: int) -> None:
        """Sends an empty acknowledgement or reset."""
        message = codec.Message(code=aiocoap.EMPTY)
        message.mtype = message_type
        message.mid = message_id
        self.send(message)

    def next_message_id(self) -> int:
        """Returns the next message id.

        Unless `is_exhausted`, it was not used within the exchange lifetime.
        """
        return self._ids.next()

    def make_token(self) -> bytes:
        """Returns a new random token that was never used before."""
        return secrets.token_bytes(_TOKEN_OCTETS)

    def listen(self, token: bytes, listener: listener_module.Listener) -> None:
        """Passes answers with a token to a listener until `stop_listening`."""
        self._listeners[token] = listener

    def stop_listening(self, token: bytes) -> None:
        """Stops passing on answers with a token.

        Retransmitted answers with the token are still acknowledged.
        """
        if self._listeners.pop(token, None) is not None:
            self._remember_finished(token)

    @contextlib.contextmanager
    def expect_acknowledgement(
        self, message_id: int, sender: Sender
    ) -> Iterator[None]:
        """Passes replies to a message to its sender within the context."""
        self._senders[message_id] = sender
        try:
            yield
        finally:
            if self._senders.get(message_id) is sender:
                del self._senders[message_id]

    def _handle_event_safely(self, event: upstream_socket.SocketEvent) -> None:
        """Handles a socket event; logs any error.

        Without this, an unexpected message of one upstream could end the
        task and stop this host for all services.
        """
        try:
            self._handle_event(event)
        except Exception:
            self._counts.add("upstream_datagrams_failed_total")
            logger.exception(
                "Discarded a datagram of upstream %s: its handling failed.",
                self.peer,
            )

    def _handle_event(self, event: upstream_socket.SocketEvent) -> None:
        if event.refused:
            self._handle_refusal(event.data)
            return
        try:
            message = codec.decode(event.data, self.peer)
        except errors.MalformedDatagramError as error:
            self._counts.add("upstream_datagrams_malformed_total")
            logger.debug("Discarded a malformed datagram: %s.", error)
            return
        self.last_received_at = trio.current_time()
        if message.mtype in (aiocoap.ACK, aiocoap.RST):
            self._handle_reply(message)
        else:
            self._handle_message(message)

    def _handle_refusal(self, data: bytes) -> None:
        # Some routers quote too few octets to identify the message.
        if len(data) < 4:
            return
        sender = self._senders.get(int.from_bytes(data[2:4], "big"))
        if sender is not None:
            self._counts.add("upstream_datagrams_refused_total")
            sender.handle_refusal()

    def _handle_reply(self, message: codec.Message) -> None:
        sender = self._senders.get(message.mid)
        if sender is None:
            self._counts.add("upstream_replies_unmatched_total")
            return
        if message.mtype is aiocoap.RST:
            sender.handle_reset()
            return
        if message.code == aiocoap.EMPTY:
            sender.handle_acknowledgement()
            return
        if message.token != sender.token:
            self._counts.add("upstream_replies_unmatched_total")
            return
        listener = self._listeners.get(message.token)
        if listener is not None:
            listener.receive(message)

    def _handle_message(self, message: codec.Message) -> None:
        accepted = False
        if message.code.is_response():
            accepted = self._deliver_response(message)
        if message.mtype is aiocoap.CON or not accepted:
            reply_type = aiocoap.ACK if accepted else aiocoap.RST
            self.send_empty(reply_type, message.mid)

    def _deliver_response(self, message: codec.Message) -> bool:
        listener = self._listeners.get(message.token)
        if listener is not None:
            return listener.receive(message)
        if message.token in self._finished:
            # The upstream retransmits: the acknowledgement was lost.
            return True
        self._counts.add("upstream_answers_unmatched_total")
        return False

    def _remember_finished(self, token: bytes) -> None:
        self._finished[token] = None
        if len(self._finished) > _MAX_FINISHED_TOKENS:
            del self._finished[next(iter(self._finished))]
