"""Client side of a CoAP observation (RFC 7641) at an upstream."""

from __future__ import annotations

import enum

import trio

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import context as context_module
from persimmonhinge.upstreams import endpoint as endpoint_module
from persimmonhinge.upstreams import exchange
from persimmonhinge.upstreams import freshness
from persimmonhinge.upstreams import requests

_REGISTER = 0
_DEREGISTER = 1
# Notifications that wait while the link to the home is slow.
_MAX_WAITING_NOTIFICATIONS = 64


class ObservationState(enum.Enum):
    """State of an observation.

    OPENING: The upstream has not answered the registration yet.
    OPEN: The upstream sends notifications.
    ENDED: The upstream ended or refused the observation, or did not answer
        the registration.
    CANCELLED: This host cancelled the observation.
    """

    OPENING = "opening"
    OPEN = "open"
    ENDED = "ended"
    CANCELLED = "cancelled"


class Observation:
    """Observes a resource with one token and queues its notifications.

    Attributes:
        state: State of the observation.
        last_received_at: Time of the last answer with its token.
        final_answer: The answer that ended the observation; None before.
        endpoint: Endpoint on which the resource is observed.
    """

    def __init__(
        self,
        context: context_module.KeeperContext,
        endpoint: endpoint_module.Endpoint,
        open_message: feeds.FeedOpen,
    ) -> None:
        """Makes an observation that is not registered yet.

        Args:
            context: Objects that all parts of the keeper share.
            endpoint: Endpoint on which to observe the resource.
            open_message: Message with which the home opened the feed.
        """
        self.state = ObservationState.OPENING
        self.last_received_at = trio.current_time()
        self.final_answer: codec.Message | None = None
        self.endpoint = endpoint
        self._context = context
        # The request in it is decoded each time it is sent, because a decoded
        # request takes ten times the memory.
        self._open_message = open_message
        self._newest_state: tuple[int, bytes] | None = None
        self._token = endpoint.make_token()
        self._freshness = freshness.Freshness()
        # A list, because an empty deque takes ten times the memory.
        self._waiting: list[codec.Message] = []
        self._changed = trio.Event()
        self._exchange: exchange.Exchange | None = None
        self._checking = False

    async def open(self, silence_s: float) -> exchange.ExchangeStatus:
        """Registers at the upstream.

        Args:
            silence_s: Limit without any reply of the upstream, seconds.

        Returns:
            ANSWERED if the upstream sent any answer; `state` shows whether it
            accepted the registration.
        """
        self.endpoint.listen(self._token, self)
        result = await self._exchange_once(
            _REGISTER, silence_s, self._context.timers
        )
        if result.status is not exchange.ExchangeStatus.ANSWERED:
            self.state = ObservationState.ENDED
        return result.status

    async def check(self, silence_s: float) -> bool:
        """Checks whether the upstream still has the observation.

        A registration with the same token renews the observation and returns
        the current state of the resource (RFC 7641 section 3.3.1). A request
        with another token would prove nothing about this observation.

        Args:
            silence_s: Limit without any reply of the upstream, seconds.

        Returns:
            False if no answer came.
        """
        timers = self._context.timers.fit_into(silence_s)
        self._checking = True
        try:
            result = await self._exchange_once(_REGISTER, silence_s, timers)
        finally:
            self._checking = False
        return result.status is exchange.ExchangeStatus.ANSWERED

    async def cancel(self, silence_s: float) -> None:
        """Deregisters at the upstream; later notifications are reset."""
        was_open = self.state in (
            ObservationState.OPEN,
            ObservationState.OPENING,
        )
        self.state = ObservationState.CANCELLED
        if was_open:
            await self._exchange_once(
                _DEREGISTER, silence_s, self._context.timers
            )
        self.endpoint.stop_listening(self._token)

    async def wait_for_change(self) -> None:
        """Waits for a notification, the end of the observation or `wake`."""
        if self._waiting or self.state is not ObservationState.OPEN:
            await trio.lowlevel.checkpoint()
            return
        await self._changed.wait()

    def pop_notification(self) -> codec.Message | None:
        """Removes and returns the oldest notification; None without one."""
        return self._waiting.pop(0) if self._waiting else None

    def wake(self) -> None:
        """Makes `wait_for_change` return."""
        self._changed.set()
        self._changed = trio.Event()

    def receive(self, answer: codec.Message) -> bool:
        """Handles an answer or notification; see `listener.Listener`."""
        self.last_received_at = trio.current_time()
        observed = answer.opt.observe is not None
        if self.state is ObservationState.CANCELLED:
            if not observed:
                self._pass_to_exchange(answer)
            return not observed
        if self.state is ObservationState.ENDED:
            return False
        self._pass_to_exchange(answer)
        self._handle_answer(answer, observed)
        return True

    def _handle_answer(self, answer: codec.Message, observed: bool) -> None:
        if not observed or not answer.code.is_successful():
            # The upstream ended the observation; see RFC 7641 sections 3.2
            # and 4.2.
            self.state = ObservationState.ENDED
            self.final_answer = answer
            self.wake()
            return
        if not self._freshness.accept(
            answer.opt.observe, self.last_received_at
        ):
            self._context.counts.add("feed_events_late_total")
            return
        self.state = ObservationState.OPEN
        if self._checking and self._newest_state == _get_state(answer):
            # The answer to a check repeats the newest state.
            return
        self._newest_state = _get_state(answer)
        self._waiting.append(answer)
        if len(self._waiting) > _MAX_WAITING_NOTIFICATIONS:
            self._waiting.pop(0)
            self._context.counts.add("feed_events_dropped_total")
        self.wake()

    def _pass_to_exchange(self, answer: codec.Message) -> None:
        if self._exchange is not None:
            self._exchange.receive(answer)

    async def _exchange_once(
        self,
        observe: int,
        silence_s: float,
        timers: transmission.Transmission,
    ) -> exchange.ExchangeResult:
        request = requests.decode_request(
            self._open_message.request, self._open_message.service
        )
        request.opt.observe = observe
        self._exchange = exchange.Exchange(
            self.endpoint,
            request,
            timers,
            self._context.randomness,
            self._token,
        )
        try:
            return await self._exchange.run(exchange.WaitLimits(silence_s))
        finally:
            self._exchange = None


def _get_state(answer: codec.Message) -> tuple[int, bytes]:
    """Returns code and payload, by which two states are compared."""
    return int(answer.code), answer.payload
