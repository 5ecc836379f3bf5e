"""Tests of events that a keeper stores until a home confirms them."""

from __future__ import annotations

import logging
import unittest

from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers.messages import feeds
from persimmonhinge.upstreams import event_budget
from persimmonhinge.upstreams import unconfirmed_events

_ANSWER = b"x" * 100


def _make_events(
    octets: int,
) -> tuple[unconfirmed_events.UnconfirmedEvents, counts_module.Counts]:
    counts = counts_module.Counts()
    budget = event_budget.EventBudget(counts, octets)
    return unconfirmed_events.UnconfirmedEvents(budget), counts


def _list_sequences(events: unconfirmed_events.UnconfirmedEvents) -> list[int]:
    return [event.sequence for event in events.list_all()]


def test_events_are_stored_until_they_are_confirmed() -> None:
    events, counts = _make_events(10_000)
    for sequence in (16, 32, 48, 64):
        events.add(feeds.FeedEvent(sequence, _ANSWER))
    events.confirm(32)
    assert _list_sequences(events) == [48, 64]
    events.confirm(64)
    assert _list_sequences(events) == [64]
    assert not counts.sum("feed_events_unconfirmed_dropped_total")


def test_stored_events_do_not_exceed_the_budget() -> None:
    """A home that confirms no events must not fill the memory of a keeper."""
    events, counts = _make_events(250)
    with unittest.TestCase().assertLogs(
        event_budget.logger, logging.WARNING
    ) as logs:
        for sequence in (16, 32, 48):
            events.add(feeds.FeedEvent(sequence, _ANSWER))
    assert _list_sequences(events) == [32, 48]
    assert counts.sum("feed_events_unconfirmed_dropped_total") == 1
    assert "Event 16" in logs.output[0]
    events.add(feeds.FeedEvent(64, b"x" * 251))
    assert _list_sequences(events) == []
    assert counts.sum("feed_events_unconfirmed_dropped_total") == 4


def test_ended_feed_releases_its_octets() -> None:
    counts = counts_module.Counts()
    budget = event_budget.EventBudget(counts, 150)
    first = unconfirmed_events.UnconfirmedEvents(budget)
    second = unconfirmed_events.UnconfirmedEvents(budget)
    first.add(feeds.FeedEvent(16, _ANSWER))
    second.add(feeds.FeedEvent(16, _ANSWER))
    assert _list_sequences(second) == []
    first.clear()
    second.add(feeds.FeedEvent(32, _ANSWER))
    assert _list_sequences(second) == [32]


def test_number_of_stored_events_of_a_feed_is_limited() -> None:
    events, counts = _make_events(1_000_000)
    for number in range(1, 301):
        events.add(feeds.FeedEvent(16 * number, b""))
    assert len(events.list_all()) == 256
    assert counts.sum("feed_events_unconfirmed_dropped_total") == 44
