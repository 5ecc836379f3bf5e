"""Events of a feed that homes were given, and how far they have come."""

from __future__ import annotations

import msgspec

from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import unconfirmed_events


class EventStream:
    """Numbers the events of a feed, and holds what no home has confirmed.

    Guards against events that are lost with a host: what it did not confirm
    is given again, under the same numbers, so that a caller who had it drops
    it as a copy (RFC 7641, 3.4).

    Attributes:
        sequence: Number of the newest event.
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
        self, opened: feeds.FeedOpen, budget: event_budget.EventBudget
    ) -> None:
        """Begins above all numbers that may be in use.

        Args:
            opened: The feed as a home opened it.
            budget: Bounds the events that are held.
        """
        self.sequence = max(opened.last_sequence, opened.floor)
        self._first = self.sequence
        # The highest number that the caller was sent, as far as it is known.
        self._sent = opened.last_sequence
        self._recent = opened.recent
        # 0 until a home has confirmed an event of this stream.
        self._confirmed = 0
        self._events = unconfirmed_events.UnconfirmedEvents(budget)

    @property
    def is_confirmed(self) -> bool:
        """True once a home has confirmed an event."""
        return self._confirmed > 0

    @property
    def is_empty(self) -> bool:
        """True if no event is held."""
        return not self._events.list_all()

    def add(self, answer: bytes) -> feeds.FeedEvent:
        """Numbers an event and holds it."""
        used = max(self.sequence, self._sent)
        self.sequence = used + feeds.SEQUENCE_STRIDE
        event = feeds.FeedEvent(self.sequence, answer)
        self._events.add(event)
        return event

    def record_acknowledgement(self, ack: feeds.FeedAck) -> None:
        """Takes in what the home has sent to the caller."""
        self._sent = max(self._sent, ack.sequence)
        self._recent = ack.recent
        # A host of an earlier release tells one number for both.
        self._confirm(ack.confirmed or ack.sequence)

    def resume(self, opened: feeds.FeedOpen) -> list[feeds.FeedEvent]:
        """Goes on for a home that opens the feed again.

        Returns:
            What it is to be given first, marked as given before.
        """
        self._sent = max(self._sent, opened.last_sequence)
        self._recent = opened.recent
        self._confirm(opened.confirmed)
        return [
            msgspec.structs.replace(event, resumed=True)
            for event in self._events.list_all()
        ]

    def make_feed_open(self, opened: feeds.FeedOpen) -> feeds.FeedOpen:
        """Returns a feed as another home is to open it."""
        return msgspec.structs.replace(
            opened,
            last_sequence=self._sent,
            recent=self._recent,
            confirmed=self._confirmed,
            floor=max(self.sequence, self._sent) + feeds.SEQUENCE_STRIDE,
            resumes=False,
        )

    def clear(self) -> None:
        """Holds no event any more."""
        self._events.clear()

    def _confirm(self, sequence: int) -> None:
        if sequence > self._first:
            self._confirmed = max(self._confirmed, sequence)
            self._events.confirm(sequence)
