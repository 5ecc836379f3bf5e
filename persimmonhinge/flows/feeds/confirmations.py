"""Confirmable messages to callers (RFC 7252, 4.2; RFC 7641, 4.5)."""

from __future__ import annotations

from collections.abc import Callable
import functools

import aiocoap

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import exchange as exchanges
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import surroundings


class Confirmations:
    """Sends confirmable messages until the caller acknowledges them.

    A caller has at most one for each feed. News that come meanwhile go out
    at once as non-confirmable messages, so that one lost datagram stalls no
    feed, and replace what the retransmissions carry.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        forget: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self._forget = forget
        self._by_id: dict[tuple[port.Flow, int], exchanges.Exchange] = {}

    def send(self, feed: feeds.Feed, message: codec.Message) -> None:
        """Sends a message as confirmable; its message id is set here."""
        self.end(feed)
        spread = self._around.random.uniform(
            1.0, transmission.ACK_RANDOM_FACTOR
        )
        timeout_s = transmission.ACK_TIMEOUT_S * spread
        exchange = exchanges.Exchange(feed, message, [], timeout_s)
        feed.exchange = exchange
        message.mtype = aiocoap.CON
        self._transmit_anew(exchange)
        self._wait(exchange)

    def renew(self, feed: feeds.Feed, message: codec.Message) -> None:
        """Replaces what the next retransmission carries."""
        if feed.exchange is None:
            return
        feed.exchange.message = message
        feed.exchange.renewed = True

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Ends the exchange of a message; False if there is none."""
        exchange = self._by_id.get((flow, message_id))
        if exchange is None:
            return False
        self.end(exchange.feed)
        return True

    def find(self, flow: port.Flow, message_id: int) -> feeds.Feed | None:
        """Returns the feed of a message that waits, None if none does."""
        exchange = self._by_id.get((flow, message_id))
        return exchange.feed if exchange else None

    def end(self, feed: feeds.Feed) -> None:
        """Ends the exchange of a feed, if there is one."""
        if feed.exchange is None:
            return
        for message_id in feed.exchange.ids:
            self._by_id.pop((feed.flow, message_id), None)
        feed.exchange = None

    def _transmit_anew(self, exchange: exchanges.Exchange) -> None:
        """Sends under a new message id: the content is new to the caller."""
        flow = exchange.feed.flow
        message_id = self._around.answers.next_message_id(flow)
        exchange.ids.append(message_id)
        self._by_id[(flow, message_id)] = exchange
        exchange.message.mid = message_id
        exchange.renewed = False
        self._around.answers.send(flow, exchange.message)

    def _wait(self, exchange: exchanges.Exchange) -> None:
        repeat = functools.partial(self._repeat, exchange)
        self._around.timers.call_after(exchange.timeout_s, repeat)

    def _repeat(self, exchange: exchanges.Exchange) -> None:
        feed = exchange.feed
        if feed.exchange is not exchange:
            return
        if exchange.retransmissions == transmission.MAX_RETRANSMIT:
            self._give_up(feed)
            return
        exchange.retransmissions += 1
        exchange.timeout_s *= 2
        if exchange.renewed:
            exchange.message.mtype = aiocoap.CON
            self._transmit_anew(exchange)
        else:
            self._around.answers.send(feed.flow, exchange.message)
        self._wait(exchange)

    def _give_up(self, feed: feeds.Feed) -> None:
        self.end(feed)
        if self._around.find_home(feed.flow) != self._around.view.me:
            # Other hosts bring the caller's acknowledgements to its home.
            # While a feed waits to be handed over there, none arrives here,
            # and a caller that is well would seem gone.
            return
        self._around.counts.add("feeds_closed_total", cause="caller-gone")
        self._forget(feed)
