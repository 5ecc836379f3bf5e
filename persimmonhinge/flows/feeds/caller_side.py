"""The side of feeds that callers see: answers and notifications."""

from __future__ import annotations

from collections.abc import Callable
import functools

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import confirmations
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as events
from persimmonhinge.flows.feeds import feed as feeds
from persimmonhinge.flows.feeds import limits
from persimmonhinge.flows.feeds import surroundings


class CallerSide:
    """Sends callers what they asked for, numbered without a step back.

    Attributes:
        confirmations: Messages that wait for an acknowledgement.
    """

    def __init__(
        self,
        around: surroundings.Surroundings,
        forget: Callable[[feeds.Feed], None],
    ) -> None:
        self._around = around
        self.confirmations = confirmations.Confirmations(around, forget)

    def take_request(self, feed: feeds.Feed, message: codec.Message) -> None:
        """Notes a request whose answer the feed now owes."""
        feed.request_id = message.mid
        feed.confirmable = message.mtype is aiocoap.CON
        feed.reply = feeds.Reply.OWED
        if feed.confirmable:
            remind = functools.partial(self._acknowledge, feed, message.mid)
            self._around.timers.call_after(limits.PIGGYBACK_S, remind)

    def repeat_reply(self, feed: feeds.Feed) -> None:
        """Answers a request that came once more under its message id."""
        if not feed.confirmable or feed.reply is feeds.Reply.OWED:
            return
        if feed.reply is feeds.Reply.SEPARATE or feed.exchange is not None:
            self._send_empty_ack(feed)
            return
        # The newest state rather than the first one: if the first reply was
        # lost this is what the caller wants, else it ignores a duplicate.
        message = _compose(feed, read_current(feed))
        self._send_ack(feed, message)

    def send(self, feed: feeds.Feed, event: events.Event) -> None:
        """Sends an answer that the caller has not had."""
        feed.recent = digests.append(feed.recent, event.digest)
        feed.current = event.answer
        feed.sent_at = trio.current_time()
        if feed.outbox is not None:
            feed.outbox.append(event)
            return
        self._transmit(feed, event)

    def send_current(self, feed: feeds.Feed) -> None:
        """Answers a request with the newest answer under a new number."""
        feed.sequence += 1
        feed.sent_at = trio.current_time()
        self._reply(feed, _compose(feed, read_current(feed)))

    def note_current(self, feed: feeds.Feed, event: events.Event) -> None:
        """Takes in an answer that a former home sent to the caller."""
        feed.current = event.answer
        feed.sent_at = trio.current_time()
        if feed.reply is not feeds.Reply.DONE and feed.outbox is None:
            self.send_current(feed)

    def hold(self, feed: feeds.Feed) -> None:
        """Holds back what is to be sent, while the home may move."""
        if feed.outbox is None:
            feed.outbox = []

    def release(self, feed: feeds.Feed) -> None:
        """Sends what was held back and holds no more."""
        held = feed.outbox or []
        feed.outbox = None
        for event in held:
            self._transmit(feed, event)
        if feed.source is not None:
            feed.confirmed = feed.source.newest
        if feed.reply is not feeds.Reply.DONE and feed.current:
            self.send_current(feed)

    def send_final(self, feed: feeds.Feed, answer: codec.Message) -> None:
        """Sends the last message of a feed; it carries no Observe."""
        answer.opt.observe = None
        answer.token = feed.token
        _cut(answer)
        if feed.outbox is None:
            self._reply(feed, answer)

    def _transmit(self, feed: feeds.Feed, event: events.Event) -> None:
        feed.sequence = max(feed.sequence + 1, event.sequence)
        message = _compose(feed, event.message)
        if feed.reply is feeds.Reply.DONE:
            self._notify(feed, message)
        else:
            self._reply(feed, message)

    def _reply(self, feed: feeds.Feed, message: codec.Message) -> None:
        reply = feed.reply
        feed.reply = feeds.Reply.DONE
        if reply is feeds.Reply.OWED and feed.confirmable:
            self.confirmations.end(feed)
            self._send_ack(feed, message)
        elif reply is feeds.Reply.OWED:
            self._send_plain(feed, message)
        else:
            self.confirmations.send(feed, message)

    def _notify(self, feed: feeds.Feed, message: codec.Message) -> None:
        if feed.exchange is not None:
            self.confirmations.renew(feed, message.copy(mtype=aiocoap.CON))
        elif self._is_confirm_due(feed):
            feed.confirm_at = self._next_confirm()
            self.confirmations.send(feed, message)
            return
        self._send_plain(feed, message)

    def _is_confirm_due(self, feed: feeds.Feed) -> bool:
        if trio.current_time() < feed.confirm_at:
            return False
        # Away from the home of the flow no acknowledgement arrives.
        return self._around.find_home(feed.flow) == self._around.view.me

    def _next_confirm(self) -> float:
        interval_s = self._around.settings.flows.feed_confirm_s
        return trio.current_time() + interval_s

    def _send_plain(self, feed: feeds.Feed, message: codec.Message) -> None:
        message.mtype = aiocoap.NON
        message.mid = self._around.answers.next_message_id(feed.flow)
        feed.message_id = message.mid
        self._around.answers.send(feed.flow, message)

    def _send_ack(self, feed: feeds.Feed, message: codec.Message) -> None:
        message.mtype = aiocoap.ACK
        message.mid = feed.request_id
        self._around.answers.send(feed.flow, message)

    def _acknowledge(self, feed: feeds.Feed, request_id: int) -> None:
        """Acknowledges a request whose answer takes long."""
        if feed.closed or feed.request_id != request_id:
            return
        if feed.reply is feeds.Reply.OWED:
            feed.reply = feeds.Reply.SEPARATE
            self._send_empty_ack(feed)

    def _send_empty_ack(self, feed: feeds.Feed) -> None:
        send_empty_ack(self._around.answers, feed.flow, feed.request_id)


def send_empty_ack(
    answers: port.CallerSender, flow: port.Flow, message_id: int
) -> None:
    """Acknowledges a message without an answer."""
    message = codec.Message(code=aiocoap.EMPTY)
    message.mtype = aiocoap.ACK
    message.mid = message_id
    message.token = b""
    answers.send(flow, message)


def read_current(feed: feeds.Feed) -> codec.Message:
    """Returns the newest answer of a feed with its whole body."""
    message = events.read_answer(feed.current, "")
    _name_state(message)
    return message


def _compose(feed: feeds.Feed, message: codec.Message) -> codec.Message:
    """Makes an answer a notification of a feed."""
    message.opt.observe = feed.sequence & limits.SEQUENCE_MASK
    message.token = feed.token
    _name_state(message)
    _cut(message)
    return message


def _name_state(message: codec.Message) -> None:
    """Gives an answer that goes out in blocks an ETag, if it has none.

    A caller sees by it when the state changes between two blocks.
    """
    if len(message.payload) > limits.BLOCK_OCTETS and not message.opt.etag:
        message.opt.etag = digests.compute(message)


def _cut(message: codec.Message) -> None:
    """Leaves the first block of a large body (RFC 7959, 2.6)."""
    if len(message.payload) <= limits.BLOCK_OCTETS:
        return
    message.opt.block2 = (0, True, limits.BLOCK_SIZE_EXPONENT)
    message.payload = message.payload[: limits.BLOCK_OCTETS]
