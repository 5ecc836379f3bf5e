"""One confirmable CoAP request and its answer."""

from __future__ import annotations

import dataclasses
import enum
import random

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.upstreams import endpoint as endpoint_module


class ExchangeStatus(enum.Enum):
    """How an exchange ended.

    ANSWERED: The upstream answered.
    REFUSED: The only transmission was reset, or ICMP reported a closed port,
        so the upstream certainly did not accept the request.
    UNSENT: The request was never sent.
    SILENT: It is unknown whether the upstream accepted the request.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNSENT = "unsent"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The result of an exchange.

    Attributes:
        status: How the exchange ended.
        answer: The answer; None unless the status is ANSWERED.
    """

    status: ExchangeStatus
    answer: codec.Message | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """Time limits of an exchange.

    Attributes:
        silence_s: Limit without any reply of the upstream, seconds; an
            acknowledgement restarts it.
        answer_deadline: Time until which the exchange waits for the answer
            to an acknowledged request, even if `silence_s` has elapsed.
    """

    silence_s: float
    answer_deadline: float = 0.0


class Exchange:
    """Transmits a request until a reply arrives and waits for its answer.

    Attributes:
        token: The token of the request.
    """

    def __init__(
        self,
        endpoint: endpoint_module.Endpoint,
        request: codec.Message,
        timers: transmission.Transmission,
        randomness: random.Random,
        token: bytes | None = None,
    ) -> None:
        """Makes an exchange.

        Args:
            endpoint: Endpoint on which to send the request.
            request: The request; type, message id and token are set here.
            timers: Retransmission timers.
            randomness: Randomizes the initial retransmission timeout.
            token: Token for which another listener is registered, which
                passes the answers to `receive`; None for a new token.
        """
        self.token = token or endpoint.make_token()
        self._owns_token = token is None
        self._endpoint = endpoint
        self._timers = timers
        self._randomness = randomness
        self._request = request
        self._reply_received = trio.Event()
        self._finished = trio.Event()
        self._transmission_count = 0
        self._acknowledged_at: float | None = None
        self._refused = False
        self._abandoned = False
        self._answer: codec.Message | None = None

    def abandon(self) -> None:
        """Stops retransmission, and resets an acknowledged request.

        A reset with the message id of the request rejects its
        acknowledgement. The upstream may then stop processing the request;
        an upstream that does not support this ignores the reset. A later
        answer is reset, too. The exchange continues until that answer or
        its time limit, because the upstream may continue to process the
        request.
        """
        self._abandoned = True
        if self._acknowledged_at is not None and not self._finished.is_set():
            self._send_reset()

    def receive(self, answer: codec.Message) -> bool:
        """Stores the first answer; see `listener.Listener`."""
        if self._answer is None:
            self._answer = answer
        self._reply_received.set()
        self._finished.set()
        return not self._abandoned

    def handle_acknowledgement(self) -> None:
        """Handles an acknowledgement: the upstream processes the request."""
        if self._acknowledged_at is None:
            self._acknowledged_at = trio.current_time()
        if self._abandoned:
            self._send_reset()
        self._reply_received.set()

    def handle_reset(self) -> None:
        """Handles a reset of the request by the upstream."""
        self._finish_refused()

    def handle_refusal(self) -> None:
        """Handles an ICMP error that reports a closed port."""
        self._finish_refused()

    async def run(self, limits: WaitLimits) -> ExchangeResult:
        """Sends the request and returns the result of the exchange."""
        message = self._request
        message.mtype = aiocoap.CON
        message.mid = self._endpoint.next_message_id()
        message.token = self.token
        if self._owns_token:
            self._endpoint.listen(self.token, self)
        try:
            with self._endpoint.expect_acknowledgement(message.mid, self):
                give_up_at = trio.current_time() + limits.silence_s
                await self._transmit(message, give_up_at)
                await self._wait_for_answer(limits)
        finally:
            if self._owns_token:
                self._endpoint.stop_listening(self.token)
        return self._make_result()

    async def _transmit(
        self, message: codec.Message, give_up_at: float
    ) -> None:
        """Transmits a message until a reply arrives or the time is up."""
        timeout_s = self._randomness.uniform(
            self._timers.ack_timeout_s,
            self._timers.ack_timeout_s * self._timers.ack_random_factor,
        )
        for _ in range(self._timers.max_retransmit + 1):
            if self._abandoned:
                break
            if not self._endpoint.send(message):
                break
            self._transmission_count += 1
            # Each wait has its own cancel scope, and there is none around
            # the loop: most requests wait only once, and each scope costs
            # time on the packet path.
            if await self._wait_for_reply(
                trio.current_time() + timeout_s, give_up_at
            ):
                return
            timeout_s *= 2
        if self._transmission_count:
            await self._wait_for_reply(give_up_at, give_up_at)

    async def _wait_for_reply(
        self, retransmit_at: float, give_up_at: float
    ) -> bool:
        """Returns False if the message is to be retransmitted."""
        with trio.move_on_at(min(retransmit_at, give_up_at)):
            await self._reply_received.wait()
            return True
        return retransmit_at >= give_up_at

    async def _wait_for_answer(self, limits: WaitLimits) -> None:
        if self._acknowledged_at is None:
            return
        give_up_at = max(
            self._acknowledged_at + limits.silence_s, limits.answer_deadline
        )
        with trio.move_on_at(give_up_at):
            await self._finished.wait()

    def _send_reset(self) -> None:
        self._endpoint.send_empty(aiocoap.RST, self._request.mid)

    def _finish_refused(self) -> None:
        # Prevents a request that ran from being reported as refused: the
        # upstream may have accepted the first transmission and restarted
        # before a later one. That causes a reset or an ICMP error after a
        # retransmission or an acknowledgement. Only the refusal of a single
        # transmission proves that the request was not accepted.
        self._refused = (
            self._transmission_count == 1 and self._acknowledged_at is None
        )
        self._reply_received.set()
        self._finished.set()

    def _make_result(self) -> ExchangeResult:
        if self._answer is not None:
            return ExchangeResult(ExchangeStatus.ANSWERED, self._answer)
        if self._transmission_count == 0:
            return ExchangeResult(ExchangeStatus.UNSENT)
        if self._refused:
            return ExchangeResult(ExchangeStatus.REFUSED)
        return ExchangeResult(ExchangeStatus.SILENT)
