"""The message layer towards callers (RFC 7252 section 4)."""

from __future__ import annotations

import collections
import logging
import random

from aiocoap.numbers import codes
from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.flows import digests
from persimmonhinge.flows import exchange as exchange_module
from persimmonhinge.flows import port
from persimmonhinge.flows import token_uses
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)

# A reply that is ready within this time is piggybacked on the ACK. Callers
# retransmit after 2 s (RFC 7252 section 4.8), so half of that leaves time for
# network delay. A separate reply costs three datagrams instead of one. The
# caller's ACK of it carries no ticket, so it is routed by the hash and doesn't
# reach a home that is leaving.
PIGGYBACK_S = 1.0
# Maximum number of stored exchanges, from which copies of requests get their
# reply. Above it the oldest are removed: a copy of an idempotent request
# then runs again, and a copy of any other request finds its row in the request
# table.
MAX_EXCHANGES = 10_000
_CLEANUP_INTERVAL_S = 1.0


class Exchanges:
    """Detects duplicate requests, sends ACKs and retransmits replies."""

    def __init__(
        self,
        sender: port.CallerSender,
        counts: counts_module.Counts,
        retention_s: float,
    ) -> None:
        self._sender = sender
        self._counts = counts
        self._retention_s = retention_s
        self._by_key: dict[
            exchange_module.ExchangeKey, exchange_module.Exchange
        ] = {}
        self._by_age: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        self._unacknowledged: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        self._token_uses = token_uses.TokenUses()
        self._ack_scheduled = trio.Event()
        self._unconfirmed: dict[exchange_module.ExchangeKey, trio.Event] = {}

    def register_request(
        self, flow: port.Flow, message: codec.Message
    ) -> exchange_module.Exchange | None:
        """Registers a request datagram, or resends the reply to a copy.

        A port that is reused at once may belong to a new caller, which may
        use a message id of the former caller and must not get that one's
        reply. A datagram is therefore a copy only if its fingerprint, which
        includes the token, is equal too; any other datagram with the same
        message id is a new request.

        Returns:
            The exchange of a new request; None if the datagram is a copy.
            The reply to the first copy is then sent again.
        """
        fingerprint = digests.compute_fingerprint(message)
        existing = self._by_key.get((flow, message.mid))
        if existing is not None and existing.fingerprint == fingerprint:
            self._counts.add("home_duplicates_total")
            self._resend_reply(existing)
            return None
        exchange = exchange_module.Exchange(
            flow,
            message.mid,
            message.token,
            message.mtype is types.CON,
            fingerprint,
            trio.current_time(),
        )
        self._by_key[exchange.key] = exchange
        self._by_age.append(exchange)
        self._enforce_limit()
        superseded = self._token_uses.record_request(exchange)
        if superseded is not None:
            self._stop_retransmission(superseded)
        return exchange

    def _stop_retransmission(self, exchange: exchange_module.Exchange) -> None:
        """Stops sending a reply whose token its caller has used again.

        Otherwise the caller could match a late copy of this reply to its
        next request.
        """
        exchange.is_confirmed = True
        self._counts.add("home_tokens_reused_total")
        if exchange.reply is not None and exchange.has_separate_reply:
            self.acknowledge(exchange.flow, exchange.reply.mid)

    def schedule_empty_ack(self, exchange: exchange_module.Exchange) -> None:
        """Schedules an empty ACK if no reply is sent within `PIGGYBACK_S`."""
        if exchange.confirmable:
            self._unacknowledged.append(exchange)
            self._ack_scheduled.set()

    def send_reply(
        self, exchange: exchange_module.Exchange, reply: codec.Message
    ) -> None:
        """Sends the reply to a request.

        A separate reply isn't retransmitted before
        `retransmit_until_confirmed` is called.
        """
        reply.token = exchange.token
        exchange.cancel_scope = None
        if exchange.confirmable and not exchange.acknowledged:
            reply.mtype = types.ACK
            reply.mid = exchange.message_id
        else:
            reply.mtype = types.CON if exchange.confirmable else types.NON
            reply.mid = self._sender.next_message_id(exchange.flow)
        exchange.reply = reply
        self._sender.send(exchange.flow, reply)

    def discard_request(self, exchange: exchange_module.Exchange) -> None:
        """Removes a request that gets no reply.

        A copy of it is treated as a new request.
        """
        exchange.acknowledged = True
        exchange.cancel_scope = None
        self._token_uses.remove_request(exchange)
        if self._by_key.get(exchange.key) is exchange:
            del self._by_key[exchange.key]

    async def retransmit_until_confirmed(
        self, exchange: exchange_module.Exchange
    ) -> None:
        """Retransmits a separate reply until the caller sends an ACK or RST.

        It stops after the number of retransmissions of RFC 7252 section 4.2.
        """
        reply = exchange.reply
        if reply is None or not exchange.has_separate_reply:
            return
        key = (exchange.flow, reply.mid)
        confirmed = trio.Event()
        self._unconfirmed[key] = confirmed
        timeout_s = transmission.ACK_TIMEOUT_S * random.uniform(
            1.0, transmission.ACK_RANDOM_FACTOR
        )
        try:
            for _ in range(transmission.MAX_RETRANSMIT):
                with trio.move_on_after(timeout_s):
                    await confirmed.wait()
                    return
                self._sender.send(exchange.flow, reply)
                timeout_s *= 2
            with trio.move_on_after(timeout_s):
                await confirmed.wait()
                return
            self._counts.add("home_answers_unconfirmed_total")
        finally:
            if self._unconfirmed.get(key) is confirmed:
                del self._unconfirmed[key]

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Handles an ACK; returns False if it matches no unconfirmed reply."""
        confirmed = self._unconfirmed.get((flow, message_id))
        if confirmed is None:
            return False
        confirmed.set()
        return True

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Handles an RST; returns False if it matches no reply or request.

        An RST with the message id of a reply stops its retransmission. An
        RST with the message id of a running request cancels the request: the
        caller rejects the empty ACK because it no longer waits for the reply.
        """
        if self.acknowledge(flow, message_id):
            return True
        exchange = self._by_key.get((flow, message_id))
        if exchange is None or exchange.cancel_scope is None:
            return False
        self._counts.add("home_cancelled_total")
        exchange.cancel_scope.cancel()
        return True

    async def run(self) -> None:
        """Sends empty ACKs when they are due and removes expired exchanges."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_due_acks)
            while True:
                await trio.sleep(_CLEANUP_INTERVAL_S)
                self._remove_expired()

    async def _send_due_acks(self) -> None:
        while True:
            await self._ack_scheduled.wait()
            while self._unacknowledged:
                exchange = self._unacknowledged.popleft()
                # The delay is the same for all requests, so the queue is sorted
                # by the time at which their ACKs are due.
                await trio.sleep_until(exchange.received_at + PIGGYBACK_S)
                if exchange.reply is None and not exchange.acknowledged:
                    self._send_empty_ack(exchange)
            self._ack_scheduled = trio.Event()

    def _send_empty_ack(self, exchange: exchange_module.Exchange) -> None:
        exchange.acknowledged = True
        send_empty(self._sender, exchange.flow, types.ACK, exchange.message_id)

    def _resend_reply(self, exchange: exchange_module.Exchange) -> None:
        if exchange.is_confirmed:
            return
        if exchange.reply is None:
            if exchange.confirmable and exchange.acknowledged:
                self._send_empty_ack(exchange)
            return
        if exchange.has_separate_reply:
            # `retransmit_until_confirmed` sends the reply itself again.
            self._send_empty_ack(exchange)
            return
        self._sender.send(exchange.flow, exchange.reply)

    def _remove_expired(self) -> None:
        limit = trio.current_time() - self._retention_s
        for _ in range(len(self._by_age)):
            if self._by_age[0].received_at > limit:
                return
            self._remove_oldest()

    def _enforce_limit(self) -> None:
        # At most two are removed for each new exchange, which bounds the cost
        # when most of the oldest exchanges are still running.
        for _ in range(2):
            if len(self._by_age) > MAX_EXCHANGES:
                self._remove_oldest()

    def _remove_oldest(self) -> None:
        exchange = self._by_age.popleft()
        if exchange.cancel_scope is not None:
            # The request is still running: a copy must not start it again.
            self._by_age.append(exchange)
            return
        self._token_uses.remove_request(exchange)
        if self._by_key.get(exchange.key) is exchange:
            del self._by_key[exchange.key]


def send_empty(
    sender: port.CallerSender,
    flow: port.Flow,
    message_type: types.Type,
    message_id: int,
) -> None:
    """Sends an empty ACK or RST."""
    message = codec.Message(code=codes.Code.EMPTY)
    message.mtype = message_type
    message.mid = message_id
    message.token = b""
    sender.send(flow, message)
