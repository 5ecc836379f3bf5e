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

# An answer that is ready within this time rides on the ACK. Callers repeat
# after 2 s (RFC 7252 section 4.8), so half of that leaves time for the way.
# A separate answer costs three datagrams in place of one, and its ACK names
# no ticket: it reaches the home by the hash, not a home that leaves.
PIGGYBACK_S = 1.0
# Answers kept for copies of their request. Beyond it the oldest are
# forgotten: a copy of idempotent work then runs again, and a copy of other
# work finds its row in the request table.
MAX_EXCHANGES = 10_000
_CLEANUP_INTERVAL_S = 1.0


class Exchanges:
    """Tells copies from new requests, acknowledges, and repeats answers."""

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
        """Takes a request datagram.

        Guards against a caller who gets another's answer: where a port is
        reused at once, the new caller may hit upon a message id of the old
        one. A copy has the same fingerprint, token included; anything else
        under that id is a new request.

        Returns:
            None if it is a copy; what its first copy was answered is then
            sent again.
        """
        fingerprint = digests.compute_fingerprint(message)
        known = self._by_key.get((flow, message.mid))
        if known is not None and known.fingerprint == fingerprint:
            self._counts.add("home_duplicates_total")
            self._resend_reply(known)
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
        answered = self._token_uses.record_request(exchange)
        if answered is not None:
            self._stop_retransmission(answered)
        return exchange

    def _stop_retransmission(self, exchange: exchange_module.Exchange) -> None:
        """Sends an answer no more whose token its caller has used again.

        Guards against a caller who takes the copy of an answer, which comes
        late, for the answer to its next request.
        """
        exchange.is_confirmed = True
        self._counts.add("home_tokens_reused_total")
        if exchange.reply is not None and exchange.has_separate_reply:
            self.acknowledge(exchange.flow, exchange.reply.mid)

    def schedule_empty_ack(self, exchange: exchange_module.Exchange) -> None:
        """Sees to an empty ACK if the answer takes its time."""
        if exchange.confirmable:
            self._unacknowledged.append(exchange)
            self._ack_scheduled.set()

    def send_reply(
        self, exchange: exchange_module.Exchange, reply: codec.Message
    ) -> None:
        """Sends the answer; a separate one still waits for `confirm`."""
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
        """Forgets a request without an answer: a copy of it is a new one."""
        exchange.acknowledged = True
        exchange.cancel_scope = None
        self._token_uses.remove_request(exchange)
        if self._by_key.get(exchange.key) is exchange:
            del self._by_key[exchange.key]

    async def retransmit_until_confirmed(
        self, exchange: exchange_module.Exchange
    ) -> None:
        """Repeats a separate answer until the caller takes or rejects it.

        It gives up after the attempts of RFC 7252 section 4.2.
        """
        reply = exchange.reply
        if reply is None or not exchange.has_separate_reply:
            return
        key = (exchange.flow, reply.mid)
        done = trio.Event()
        self._unconfirmed[key] = done
        timeout_s = transmission.ACK_TIMEOUT_S * random.uniform(
            1.0, transmission.ACK_RANDOM_FACTOR
        )
        try:
            for _ in range(transmission.MAX_RETRANSMIT):
                with trio.move_on_after(timeout_s):
                    await done.wait()
                    return
                self._sender.send(exchange.flow, reply)
                timeout_s *= 2
            with trio.move_on_after(timeout_s):
                await done.wait()
                return
            self._counts.add("home_answers_unconfirmed_total")
        finally:
            if self._unconfirmed.get(key) is done:
                del self._unconfirmed[key]

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Takes an ACK; returns False if it is for none of these answers."""
        done = self._unconfirmed.get((flow, message_id))
        if done is None:
            return False
        done.set()
        return True

    def reset(self, flow: port.Flow, message_id: int) -> bool:
        """Takes an RST; returns False if it is for none of these.

        With the id of an answer it ends its repetition. With the id of a
        request that still runs it cancels that: the caller rejects the
        empty ACK because it no longer waits.
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
        """Sends empty ACKs in time and forgets old answers."""
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
                # All wait the same time, so the queue is in order.
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
            # The answer itself is repeated until it is confirmed.
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
        # Two for each new one, so that it stays cheap where most still run.
        for _ in range(2):
            if len(self._by_age) > MAX_EXCHANGES:
                self._remove_oldest()

    def _remove_oldest(self) -> None:
        exchange = self._by_age.popleft()
        if exchange.cancel_scope is not None:
            # Still running: a copy must not start it a second time.
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
    """Sends an ACK or RST without content."""
    message = codec.Message(code=codes.Code.EMPTY)
    message.mtype = message_type
    message.mid = message_id
    message.token = b""
    sender.send(flow, message)
