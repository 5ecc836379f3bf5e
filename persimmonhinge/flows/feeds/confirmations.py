"""Confirmable messages to callers (RFC 7252, 4.2; RFC 7641, 4.5)."""

from __future__ import annotations

from collections.abc import Callable
import functools

import aiocoap

from persimmonhinge.coap import codec
from persimmonhinge.coap import transmission
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import exchange as exchange_module
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context


class Confirmations:
    """Sends confirmable messages until the caller acknowledges them.

    At most one confirmable message per feed awaits an acknowledgement. Newer
    notifications are sent at once as non-confirmable messages, so that one
    lost datagram doesn't delay a feed. They also replace the content of the
    retransmissions.
    """

    def __init__(
        self,
        context: feed_context.FeedContext,
        remove_feed: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self._remove_feed = remove_feed
        self._by_id: dict[tuple[port.Flow, int], exchange_module.Exchange] = {}

    def send(self, feed: feed_module.Feed, message: codec.Message) -> None:
        """Sends a message as confirmable and assigns its message id."""
        self.end_exchange(feed)
        spread = self._context.random.uniform(
            1.0, transmission.ACK_RANDOM_FACTOR
        )
        timeout_s = transmission.ACK_TIMEOUT_S * spread
        exchange = exchange_module.Exchange(feed, message, [], timeout_s)
        feed.exchange = exchange
        message.mtype = aiocoap.CON
        self._transmit_with_new_id(exchange)
        self._schedule_retransmission(exchange)

    def replace_message(
        self, feed: feed_module.Feed, message: codec.Message
    ) -> None:
        """Replaces the content of the next retransmission."""
        if feed.exchange is None:
            return
        feed.exchange.message = message
        feed.exchange.replaced = True

    def acknowledge(self, flow: port.Flow, message_id: int) -> bool:
        """Ends the exchange of a message that the caller acknowledged.

        Returns:
            False if no exchange uses this message id.
        """
        exchange = self._by_id.get((flow, message_id))
        if exchange is None:
            return False
        self.end_exchange(exchange.feed)
        return True

    def find_feed(
        self, flow: port.Flow, message_id: int
    ) -> feed_module.Feed | None:
        """Returns the feed whose exchange uses a message id, if any."""
        exchange = self._by_id.get((flow, message_id))
        return exchange.feed if exchange else None

    def end_exchange(self, feed: feed_module.Feed) -> None:
        """Ends the exchange of a feed, if there is one."""
        if feed.exchange is None:
            return
        for message_id in feed.exchange.message_ids:
            self._by_id.pop((feed.flow, message_id), None)
        feed.exchange = None

    def _transmit_with_new_id(self, exchange: exchange_module.Exchange) -> None:
        """Sends the message under a new id, because its content is new."""
        flow = exchange.feed.flow
        message_id = self._context.answers.next_message_id(flow)
        exchange.message_ids.append(message_id)
        self._by_id[(flow, message_id)] = exchange
        exchange.message.mid = message_id
        exchange.replaced = False
        self._context.answers.send(flow, exchange.message)

    def _schedule_retransmission(
        self, exchange: exchange_module.Exchange
    ) -> None:
        retransmit = functools.partial(self._retransmit, exchange)
        self._context.timers.call_after(exchange.timeout_s, retransmit)

    def _retransmit(self, exchange: exchange_module.Exchange) -> None:
        feed = exchange.feed
        if feed.exchange is not exchange:
            return
        if exchange.retransmissions == transmission.MAX_RETRANSMIT:
            self._give_up(feed)
            return
        exchange.retransmissions += 1
        exchange.timeout_s *= 2
        if exchange.replaced:
            exchange.message.mtype = aiocoap.CON
            self._transmit_with_new_id(exchange)
        else:
            self._context.answers.send(feed.flow, exchange.message)
        self._schedule_retransmission(exchange)

    def _give_up(self, feed: feed_module.Feed) -> None:
        self.end_exchange(feed)
        if self._context.find_home(feed.flow) != self._context.view.me:
            # The caller's acknowledgements are relayed to the home of its
            # flow. While a feed waits for its hand-over to that host, none
            # arrive here, and a reachable caller would be treated as gone.
            return
        self._context.counts.add("feeds_closed_total", cause="caller-gone")
        self._remove_feed(feed)
