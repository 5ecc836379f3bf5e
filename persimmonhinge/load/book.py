"""All that the callers of a run saw."""

from __future__ import annotations

import collections

from persimmonhinge import ids
from persimmonhinge.client import answer as answers
from persimmonhinge.load import feed_record
from persimmonhinge.load import request_record


class Book:
    """Collects the records of a run.

    Attributes:
        upstreams: Upstreams by service, as far as the settings name them.
        started_at: Wall clock when all feeds were to be open, seconds since
            the epoch.
        ended_at: Wall clock when the feeds were told to close.
        sent: Requests whose time has come.
        requests: Requests that ended.
        feeds: All feeds.
    """

    def __init__(self) -> None:
        self.upstreams: dict[ids.ServiceName, tuple[ids.UpstreamId, ...]]
        self.upstreams = {}
        self.started_at = 0.0
        self.ended_at = 0.0
        self.sent = 0
        self.requests: list[request_record.RequestRecord] = []
        self.feeds: list[feed_record.FeedRecord] = []
        self._outcomes: collections.Counter[answers.Outcome]
        self._outcomes = collections.Counter()

    def add(self, record: request_record.RequestRecord) -> None:
        """Adds a request that ended."""
        self.requests.append(record)
        self._outcomes[record.outcome] += 1

    def count(self, outcome: answers.Outcome) -> int:
        """Returns how many requests had an outcome."""
        return self._outcomes[outcome]

    def select_answered(self) -> list[request_record.RequestRecord]:
        """Returns the requests that got an answer."""
        answered = answers.Outcome.ANSWERED
        return [r for r in self.requests if r.outcome is answered]

    def count_causes(self) -> dict[str, int]:
        """Counts requests without success by cause, most frequent first."""
        causes = (record.cause for record in self.requests if record.cause)
        return dict(collections.Counter(causes).most_common())

    def describe(self) -> str:
        """Returns the counts so far in one line."""
        opened = sum(feed.opened for feed in self.feeds)
        broken = sum(feed.broken for feed in self.feeds)
        return (
            f"{self.sent} sent,"
            f" {self.count(answers.Outcome.ANSWERED)} answered,"
            f" {self.count(answers.Outcome.REFUSED)} refused,"
            f" {self.count(answers.Outcome.UNKNOWN)} unknown;"
            f" {opened} feeds, {broken} broken"
        )
