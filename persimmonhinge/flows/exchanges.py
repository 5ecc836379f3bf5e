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
from persimmonhinge.flows import exchange as exchanges
from persimmonhinge.flows import port
from persimmonhinge.flows import token_uses
from persimmonhinge.metrics import counts as host_counts

logger = logging.getLogger(__name__)

# An answer that is ready within this time rides on the ACK. Callers repeat
# after 2 s (RFC 7252 section 4.8), so half of that leaves time for the way.
# A separate answer costs three datagrams in place of one, and its ACK names
# no ticket: it reaches the home by the hash, not a home that leaves.
PIGGYBACK_S = 1.0
# Answers kept for copies of their request. Beyond it the oldest are
# forgotten: a copy of idempotent work then runs again, and a copy of other
# work finds its row in the request table.
MAX_KEPT = 10_000
_SWEEP_S = 1.0


class Exchanges:
    """Tells copies from new requests, acknowledges, and repeats answers."""

    def __init__(
        self,
        answers: port.Answers,
        counts: host_counts.Counts,
        life_s: float,
    ) -> None:
        self._answers = answers
        self._counts = counts
        self._life_s = life_s
        self._known: dict[exchanges.ExchangeKey, exchanges.Exchange] = {}
        self._order: collections.deque[exchanges.Exchange] = collections.deque()
        self._unacknowledged: collections.deque[exchanges.Exchange] = (
            collections.deque()
        )
        self._token_uses = token_uses.TokenUses()
        self._wakeup = trio.Event()
        self._unconfirmed: dict[exchanges.ExchangeKey, trio.Event] = {}

    def begin(
        self, flow: port.Flow, message: codec.Message
    ) -> exchanges.Exchange | None:
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
        known = self._known.get((flow, message.mid))
        if known is not None and known.fingerprint == fingerprint:
            self._counts.add("home_duplicates_total")
            self._repeat(known)
            return None
        exchange = exchanges.Exchange(
            flow,
            message.mid,
            message.token,
            message.mtype is types.CON,
            fingerprint,
            trio.current_time(),
        )
        self._known[exchange.key] = exchange
        self._order.append(exchange)
        self._forget_oldest()
        answered = self._token_uses.begin(exchange)
        if answered is not None:
            self._end_repetition(answered)
        return exchange

    def _end_repetition(self, exchange: exchanges.Exchange) -> None:
        """Sends an answer no more whose token its caller has used again.

        Guards against a caller who takes the copy of an answer, which comes
        late, for the answer to its next request.
        """
        exchange.is_received = True
        self._counts.add("home_tokens_reused_total")
        if exchange.reply is not None and exchange.is_separate:
            self.acknowledge(exchange.flow, exchange.reply.mid)

    def await_answer(self, exchange: exchanges.Exchange) -> None:
        """Sees to an empty ACK if the answer takes its time."""
        if exchange.confirmable:
            self._unacknowledged.append(exchange)
            self._wakeup.set()

    def finish(
        self, exchange: exchanges.Exchange, reply: codec.Message
    ) -> None:
        """Sends the answer; a separate one still waits for `confirm`."""
        reply.token = exchange.token
        exchange.scope = None
        if exchange.confirmable and not exchange.acknowledged:
            reply.mtype = types.ACK
            reply.mid = exchange.message_id
        else:
            reply.mtype = types.CON if exchange.confirmable else types.NON
            reply.mid = self._answers.next_message_id(exchange.flow)
        exchange.reply = reply
        self._answers.send(exchange.flow, reply)

    def abandon(self, exchange: exchanges.Exchange) -> None:
        """Forgets a request without an answer: a copy of it is a new one."""
        exchange.acknowledged = True
        exchange.scope = None
        self._token_uses.forget(exchange)
        if self._known.get(exchange.key) is exchange:
            del self._known[exchange.key]

    async def confirm(self, exchange: exchanges.Exchange) -> None:
        """Repeats a separate answer until the caller takes or rejects it.

        It gives up after the attempts of RFC 7252 section 4.2.
        """
        reply = exchange.reply
        if reply is None or not exchange.is_separate:
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
                self._answers.send(exchange.flow, reply)
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
        exchange = self._known.get((flow, message_id))
        if exchange is None or exchange.scope is None:
            return False
        self._counts.add("home_cancelled_total")
        exchange.scope.cancel()
        return True

    async def run(self) -> None:
        """Sends empty ACKs in time and forgets old answers."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_acknowledgements)
            while True:
                await trio.sleep(_SWEEP_S)
                self._forget_old()

    async def _run_acknowledgements(self) -> None:
        while True:
            await self._wakeup.wait()
            while self._unacknowledged:
                exchange = self._unacknowledged.popleft()
                # All wait the same time, so the queue is in order.
                await trio.sleep_until(exchange.begun + PIGGYBACK_S)
                if exchange.reply is None and not exchange.acknowledged:
                    self._send_empty_ack(exchange)
            self._wakeup = trio.Event()

    def _send_empty_ack(self, exchange: exchanges.Exchange) -> None:
        exchange.acknowledged = True
        send_empty(self._answers, exchange.flow, types.ACK, exchange.message_id)

    def _repeat(self, exchange: exchanges.Exchange) -> None:
        if exchange.is_received:
            return
        if exchange.reply is None:
            if exchange.confirmable and exchange.acknowledged:
                self._send_empty_ack(exchange)
            return
        if exchange.is_separate:
            # The answer itself is repeated until it is confirmed.
            self._send_empty_ack(exchange)
            return
        self._answers.send(exchange.flow, exchange.reply)

    def _forget_old(self) -> None:
        limit = trio.current_time() - self._life_s
        for _ in range(len(self._order)):
            if self._order[0].begun > limit:
                return
            self._forget_first()

    def _forget_oldest(self) -> None:
        # Two for each new one, so that it stays cheap where most still run.
        for _ in range(2):
            if len(self._order) > MAX_KEPT:
                self._forget_first()

    def _forget_first(self) -> None:
        exchange = self._order.popleft()
        if exchange.scope is not None:
            # Still running: a copy must not start it a second time.
            self._order.append(exchange)
            return
        self._token_uses.forget(exchange)
        if self._known.get(exchange.key) is exchange:
            del self._known[exchange.key]


def send_empty(
    answers: port.Answers, flow: port.Flow, kind: types.Type, message_id: int
) -> None:
    """Sends an ACK or RST without content."""
    message = codec.Message(code=codes.Code.EMPTY)
    message.mtype = kind
    message.mid = message_id
    message.token = b""
    answers.send(flow, message)
