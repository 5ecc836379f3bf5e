"""One confirmable request and the answer to it."""

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
    REFUSED: The only transmission was reset or refused by ICMP; it surely
        was not taken in.
    UNSENT: Nothing was sent.
    SILENT: Whether it was taken in can't be told.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    UNSENT = "unsent"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The end of an exchange.

    Attributes:
        end: How it ended.
        answer: The answer; None unless the end is ANSWERED.
    """

    status: ExchangeStatus
    answer: codec.Message | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class WaitLimits:
    """How long an exchange may last.

    Attributes:
        silence_s: Limit without any sign of the upstream, seconds; an
            acknowledgement is a sign and starts it once more.
        until: Time up to which an acknowledged request is waited for even
            if it takes longer.
    """

    silence_s: float
    answer_deadline: float = 0.0


class Exchange:
    """Sends a request until it is acknowledged and waits for its answer.

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
            endpoint: Where it takes place.
            request: The request; type, message id and token are set here.
            timers: Timers of retransmission.
            randomness: Draws the first wait.
            token: Token on which someone else listens, who then hands the
                answers on to `receive`; None for a new one.
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
        """Stops sending, and tells an upstream that works on the request.

        A reset under the id of the request rejects its acknowledgement; an
        upstream may stop at it, and one that does not know it passes it
        over. An answer that still comes is reset, too. The exchange goes on
        until then or to its limit, because the upstream may go on.
        """
        self._abandoned = True
        if self._acknowledged_at is not None and not self._finished.is_set():
            self._send_reset()

    def receive(self, answer: codec.Message) -> bool:
        """Takes the answer; see `listener.Listener`."""
        if self._answer is None:
            self._answer = answer
        self._reply_received.set()
        self._finished.set()
        return not self._abandoned

    def handle_acknowledgement(self) -> None:
        """Takes in that the upstream works on the request."""
        if self._acknowledged_at is None:
            self._acknowledged_at = trio.current_time()
        if self._abandoned:
            self._send_reset()
        self._reply_received.set()

    def handle_reset(self) -> None:
        """Takes in that the upstream reset the request."""
        self._finish_refused()

    def handle_refusal(self) -> None:
        """Takes in that ICMP refused a transmission."""
        self._finish_refused()

    async def run(self, limits: WaitLimits) -> ExchangeResult:
        """Runs the exchange to its end."""
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
        """Sends a message until there is a sign, or the time is over."""
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
            # One scope for each wait and none around all: most requests
            # wait once, and a scope is not cheap on the packet path.
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
        """Returns False if the exchange is to go on sending."""
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
        # Guards against taking a request for refused that did run: the
        # first transmission may have been taken in, and a later one met
        # the restarted program. It shows as a reset or an ICMP error after
        # a retransmission or an acknowledgement. Only the refusal of the
        # one and only transmission tells that nothing was taken in.
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
