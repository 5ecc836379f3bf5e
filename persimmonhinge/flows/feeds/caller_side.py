"""Answers and notifications that feeds send to callers."""

from __future__ import annotations

from collections.abc import Callable
import functools
import logging

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.flows.feeds import confirmations
from persimmonhinge.flows.feeds import digests
from persimmonhinge.flows.feeds import event as event_module
from persimmonhinge.flows.feeds import feed as feed_module
from persimmonhinge.flows.feeds import feed_context
from persimmonhinge.flows.feeds import limits

logger = logging.getLogger(__name__)


class CallerSide:
    """Sends answers and notifications with increasing Observe numbers.

    Attributes:
        confirmations: Confirmable messages that await an acknowledgement.
    """

    def __init__(
        self,
        context: feed_context.FeedContext,
        remove_feed: Callable[[feed_module.Feed], None],
    ) -> None:
        self._context = context
        self.confirmations = confirmations.Confirmations(context, remove_feed)

    def record_request(
        self, feed: feed_module.Feed, message: codec.Message
    ) -> None:
        """Records a request that the feed has to answer.

        A confirmable request is acknowledged by an empty message if no answer
        is ready in time.
        """
        feed.request_id = message.mid
        feed.confirmable = message.mtype is aiocoap.CON
        feed.reply = feed_module.Reply.OWED
        self._acknowledge_later(feed)

    def transfer_request(
        self, former: feed_module.Feed, feed: feed_module.Feed
    ) -> None:
        """Makes a feed answer what the feed that it replaces has to answer."""
        feed.request_id = former.request_id
        feed.confirmable = former.confirmable
        feed.reply = former.reply
        if feed.reply is not feed_module.Reply.DONE:
            feed.unserved_since = former.unserved_since
        self._acknowledge_later(feed)

    def repeat_reply(self, feed: feed_module.Feed) -> None:
        """Repeats the reply to a request received again with the same id."""
        if not feed.confirmable or feed.reply is feed_module.Reply.OWED:
            return
        if feed.outbox:
            # The newest answer has not been sent yet. It will be the reply.
            feed.reply = feed_module.Reply.SEPARATE
        if (
            feed.reply is feed_module.Reply.SEPARATE
            or feed.exchange is not None
        ):
            self._send_empty_ack(feed)
            return
        # The repeated reply has the newest state, not the state of the first
        # reply: if the first reply was lost, the caller wants the newest
        # state; otherwise the caller ignores the duplicate.
        message = _make_notification(feed, read_current(feed))
        self._send_ack(feed, message)

    def send(self, feed: feed_module.Feed, event: event_module.Event) -> None:
        """Sends an answer that the caller has not received yet.

        The answer is put into the outbox while answers are held back.
        """
        feed.recent_digests = digests.append(feed.recent_digests, event.digest)
        feed.newest_answer = event.answer
        feed.sent_at = trio.current_time()
        if feed.outbox is not None:
            feed.outbox.append(event)
            return
        self._transmit(feed, event)

    def send_current(self, feed: feed_module.Feed) -> None:
        """Replies to a request with the newest answer.

        The request and the notification of that answer may have crossed. The
        reply therefore has the number of the notification, so that a caller
        that received it discards the reply (RFC 7641, 3.4). Once the answer
        is due for a refresh, the reply has a new number.
        """
        age_s = trio.current_time() - feed.sent_at
        if is_due_for_refresh(feed, age_s):
            feed.sequence += 1
            feed.answer_sequence = feed.sequence
            feed.sent_at = trio.current_time()
        logger.info(
            "Feed %s: request %d answered with the answer of %.3f s ago,"
            " number %d.",
            feed.name,
            feed.request_id,
            age_s,
            feed.answer_sequence,
        )
        message = read_current(feed)
        self._reply(feed, _make_notification(feed, message))

    def record_current(
        self, feed: feed_module.Feed, event: event_module.Event
    ) -> None:
        """Stores an answer that a former home has sent to the caller."""
        feed.newest_answer = event.answer
        # The former home has used no number above these two for it.
        feed.answer_sequence = min(event.sequence, feed.sequence)
        feed.sent_at = trio.current_time()
        if feed.reply is not feed_module.Reply.DONE and feed.outbox is None:
            self.send_current(feed)

    def match_newest_answer(self, feed: feed_module.Feed) -> None:
        """Forgets the newest answer unless the former home sent it last.

        A reply with an older answer would be a step back for the caller.
        """
        if not feed.newest_answer:
            return
        digest = digests.compute(read_current(feed))
        if digest == digests.last(feed.recent_digests):
            feed.answer_sequence = feed.sequence
        else:
            feed.newest_answer = b""

    def hold_answers(self, feed: feed_module.Feed) -> None:
        """Starts to hold answers back during a change of the home."""
        if feed.outbox is None:
            feed.outbox = []

    def release_answers(self, feed: feed_module.Feed) -> None:
        """Sends the answers held back and stops holding answers back."""
        held = feed.outbox or []
        feed.outbox = None
        for event in held:
            self._transmit(feed, event)
        if feed.source is not None:
            feed.confirmed = feed.source.newest_sequence
        if feed.reply is not feed_module.Reply.DONE and feed.newest_answer:
            self.send_current(feed)

    def send_final(self, feed: feed_module.Feed, answer: codec.Message) -> None:
        """Sends the last message of a feed, without the Observe option."""
        answer.opt.observe = None
        answer.token = feed.token
        _truncate_to_block(answer)
        if feed.outbox is None:
            self._reply(feed, answer)

    def _transmit(
        self, feed: feed_module.Feed, event: event_module.Event
    ) -> None:
        feed.sequence = max(feed.sequence + 1, event.sequence)
        feed.answer_sequence = feed.sequence
        message = _make_notification(feed, event.message)
        if feed.reply is feed_module.Reply.DONE:
            self._notify(feed, message)
        else:
            self._reply(feed, message)

    def _reply(self, feed: feed_module.Feed, message: codec.Message) -> None:
        reply = feed.reply
        feed.reply = feed_module.Reply.DONE
        if reply is feed_module.Reply.OWED and feed.confirmable:
            self.confirmations.end_exchange(feed)
            self._send_ack(feed, message)
        elif reply is feed_module.Reply.OWED:
            self._send_plain(feed, message)
        else:
            self.confirmations.send(feed, message)

    def _notify(self, feed: feed_module.Feed, message: codec.Message) -> None:
        if feed.exchange is not None:
            self.confirmations.replace_message(
                feed, message.copy(mtype=aiocoap.CON)
            )
        elif self._is_confirm_due(feed):
            feed.confirm_at = self._compute_next_confirm()
            self.confirmations.send(feed, message)
            return
        self._send_plain(feed, message)

    def _is_confirm_due(self, feed: feed_module.Feed) -> bool:
        if trio.current_time() < feed.confirm_at:
            return False
        # Acknowledgements arrive only at the home of the flow.
        return self._context.find_home(feed.flow) == self._context.view.me

    def _compute_next_confirm(self) -> float:
        interval_s = self._context.settings.flows.feed_confirm_s
        return trio.current_time() + interval_s

    def _send_plain(
        self, feed: feed_module.Feed, message: codec.Message
    ) -> None:
        message.mtype = aiocoap.NON
        message.mid = self._context.answers.next_message_id(feed.flow)
        feed.message_id = message.mid
        self._context.answers.send(feed.flow, message)

    def _send_ack(self, feed: feed_module.Feed, message: codec.Message) -> None:
        message.mtype = aiocoap.ACK
        message.mid = feed.request_id
        self._context.answers.send(feed.flow, message)

    def _acknowledge_later(self, feed: feed_module.Feed) -> None:
        if not feed.confirmable or feed.reply is not feed_module.Reply.OWED:
            return
        acknowledge = functools.partial(
            self._acknowledge, feed, feed.request_id
        )
        self._context.timers.call_after(
            limits.MAX_PIGGYBACK_DELAY_S, acknowledge
        )

    def _acknowledge(self, feed: feed_module.Feed, request_id: int) -> None:
        """Acknowledges a request whose answer is not ready yet."""
        if feed.closed or feed.request_id != request_id:
            return
        if feed.reply is feed_module.Reply.OWED:
            feed.reply = feed_module.Reply.SEPARATE
            self._send_empty_ack(feed)

    def _send_empty_ack(self, feed: feed_module.Feed) -> None:
        send_empty_ack(self._context.answers, feed.flow, feed.request_id)


def send_empty_ack(
    answers: port.CallerSender, flow: port.Flow, message_id: int
) -> None:
    """Acknowledges a message by an empty message."""
    message = codec.Message(code=aiocoap.EMPTY)
    message.mtype = aiocoap.ACK
    message.mid = message_id
    message.token = b""
    answers.send(flow, message)


def read_current(feed: feed_module.Feed) -> codec.Message:
    """Returns the newest answer of a feed with its whole body."""
    message = event_module.read_answer(feed.newest_answer, "")
    _add_etag(message)
    return message


def read_max_age_s(feed: feed_module.Feed) -> int:
    """Returns how long the newest answer of a feed is fresh, in seconds."""
    max_age_s = read_current(feed).opt.max_age
    return limits.DEFAULT_MAX_AGE_S if max_age_s is None else max_age_s


def is_due_for_refresh(feed: feed_module.Feed, age_s: float) -> bool:
    """Returns whether a registration refreshes an answer of this age."""
    return age_s >= read_max_age_s(feed) + limits.REFRESH_GRACE_S


def _make_notification(
    feed: feed_module.Feed, message: codec.Message
) -> codec.Message:
    """Turns the newest answer into a notification of a feed, in place."""
    message.opt.observe = feed.answer_sequence & limits.SEQUENCE_MASK
    message.token = feed.token
    _add_etag(message)
    _truncate_to_block(message)
    return message


def _add_etag(message: codec.Message) -> None:
    """Adds an ETag to an answer that is sent in blocks and has none.

    The ETag shows a caller that the state has changed between two blocks.
    """
    if len(message.payload) > limits.BLOCK_OCTETS and not message.opt.etag:
        message.opt.etag = digests.compute(message)


def _truncate_to_block(message: codec.Message) -> None:
    """Truncates a large body to its first block (RFC 7959, 2.6)."""
    if len(message.payload) <= limits.BLOCK_OCTETS:
        return
    message.opt.block2 = (0, True, limits.BLOCK_SIZE_EXPONENT)
    message.payload = message.payload[: limits.BLOCK_OCTETS]
