"""Events of a feed that its home has not confirmed."""

from __future__ import annotations

from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import event_budget

_MAX_EVENTS = 256


class UnconfirmedEvents:
    """Stores events until the home confirms that the caller was sent them.

    The newest event is stored even if it is confirmed: another home that
    resumes the feed answers registrations with it.
    """

    __slots__ = ("_budget", "_events")

    def __init__(self, budget: event_budget.EventBudget) -> None:
        self._budget = budget
        # A list, because an empty deque takes ten times the memory.
        self._events: list[feeds.FeedEvent] = []

    def list_all(self) -> tuple[feeds.FeedEvent, ...]:
        """Returns the events, oldest first."""
        return tuple(self._events)

    def add(self, event: feeds.FeedEvent) -> None:
        """Stores an event; removes the oldest ones if a limit is reached.

        An event that exceeds the free octets even then is not stored.
        """
        octets = len(event.answer)
        while len(self._events) >= _MAX_EVENTS:
            self._drop_oldest()
        while not self._budget.reserve(octets):
            if not self._events:
                self._budget.record_drop(event.sequence)
                return
            self._drop_oldest()
        self._events.append(event)

    def confirm(self, sequence: int) -> None:
        """Removes events up to a sequence number, except the newest."""
        while len(self._events) > 1 and self._events[0].sequence <= sequence:
            self._remove_oldest()

    def clear(self) -> None:
        """Removes all events."""
        while self._events:
            self._remove_oldest()

    def _drop_oldest(self) -> None:
        self._budget.record_drop(self._events[0].sequence)
        self._remove_oldest()

    def _remove_oldest(self) -> None:
        event = self._events.pop(0)
        self._budget.release(len(event.answer))
