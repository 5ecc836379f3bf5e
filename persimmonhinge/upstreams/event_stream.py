"""Sequence numbers and confirmation of the events of a feed."""

from __future__ import annotations

import msgspec

from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import unconfirmed_events


class EventStream:
    """Numbers the events of a feed and stores those not confirmed by a home.

    Prevents the loss of events when a home fails: unconfirmed events are sent
    again with the same sequence numbers, so that a caller that already has
    one discards it as a duplicate (RFC 7641 section 3.4).

    Attributes:
        sequence: Sequence number of the newest event.
    """

    __slots__ = (
        "sequence",
        "_confirmed",
        "_events",
        "_first",
        "_recent",
        "_sent",
    )

    def __init__(
        self, open_message: feeds.FeedOpen, budget: event_budget.EventBudget
    ) -> None:
        """Starts above all sequence numbers that may be in use.

        Args:
            open_message: Message with which a home opened the feed.
            budget: Limits the octets of stored events.
        """
        self.sequence = max(open_message.last_sequence, open_message.floor)
        self._first = self.sequence
        # The highest sequence number that is known to be sent to the caller.
        self._sent = open_message.last_sequence
        self._recent = open_message.recent
        # 0 until a home has confirmed an event of this stream.
        self._confirmed = 0
        self._events = unconfirmed_events.UnconfirmedEvents(budget)

    @property
    def is_confirmed(self) -> bool:
        """True once a home has confirmed an event."""
        return self._confirmed > 0

    @property
    def is_empty(self) -> bool:
        """True if no event is stored."""
        return not self._events.list_all()

    def add(self, answer: bytes) -> feeds.FeedEvent:
        """Numbers an event and stores it."""
        used = max(self.sequence, self._sent)
        self.sequence = used + feeds.SEQUENCE_STRIDE
        event = feeds.FeedEvent(self.sequence, answer)
        self._events.add(event)
        return event

    def record_acknowledgement(self, ack: feeds.FeedAck) -> None:
        """Records which events the home has sent to the caller."""
        self._sent = max(self._sent, ack.sequence)
        self._recent = ack.recent
        # A host of an earlier release sends one number for both.
        self._confirm(ack.confirmed or ack.sequence)

    def resume(self, open_message: feeds.FeedOpen) -> list[feeds.FeedEvent]:
        """Continues the stream for a home that opens the feed again.

        Returns:
            Unconfirmed events to send first, marked as sent before.
        """
        self._sent = max(self._sent, open_message.last_sequence)
        self._recent = open_message.recent
        self._confirm(open_message.confirmed)
        return [
            msgspec.structs.replace(event, resumed=True)
            for event in self._events.list_all()
        ]

    def make_feed_open(self, open_message: feeds.FeedOpen) -> feeds.FeedOpen:
        """Returns the message with which another home is to open a feed."""
        return msgspec.structs.replace(
            open_message,
            last_sequence=self._sent,
            recent=self._recent,
            confirmed=self._confirmed,
            floor=max(self.sequence, self._sent) + feeds.SEQUENCE_STRIDE,
            resumes=False,
        )

    def clear(self) -> None:
        """Removes all stored events."""
        self._events.clear()

    def _confirm(self, sequence: int) -> None:
        if sequence > self._first:
            self._confirmed = max(self._confirmed, sequence)
            self._events.confirm(sequence)
