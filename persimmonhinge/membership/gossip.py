"""News that ride on heartbeats, in bounded size and number."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import math

from persimmonhinge import ids
from persimmonhinge.membership import budgets
from persimmonhinge.membership import record as records
from persimmonhinge.membership import table as tables

_SPREAD_FACTOR = 3
_MAX_OCTETS = 450
_OCTETS_PER_S = 4_000.0
_BURST_OCTETS = 8_000.0
_URGENT = (records.Claim.SUSPECT, records.Claim.DEAD)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class _News:
    """A place in the queue; the least goes first.

    A death does not wait behind hundreds of hosts that have started or come
    back, and neither does a suspicion, which its host has to hear of in time.
    """

    can_wait: bool
    times: int
    number: int
    host: ids.HostId


class Gossip:
    """Chooses which news a datagram carries.

    Each change of a record rides on about three times log2 of the number of
    hosts datagrams: enough to reach all hosts with high probability, and
    what it misses the exchange of state brings. The least told goes first.
    A budget bounds the octets a second, however many datagrams go out.
    """

    def __init__(
        self,
        table: tables.Table,
        measure: Callable[[records.Record], int],
        now: Callable[[], float],
    ) -> None:
        """Makes an empty queue.

        Args:
            table: Where the records stand.
            measure: Returns the octets that a record takes.
            now: Returns the monotonic time, seconds.
        """
        self._table = table
        self._measure = measure
        self._budget = budgets.OctetBudget(_OCTETS_PER_S, _BURST_OCTETS, now)
        self._queue: list[_News] = []
        self._current: dict[ids.HostId, int] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._current)

    def add(self, host: ids.HostId) -> None:
        """Queues the record of a host; an earlier one of it is dropped."""
        self._push(0, host)

    def take(self, *, about: ids.HostId | None) -> tuple[records.Record, ...]:
        """Returns the news for one datagram.

        Args:
            about: The host that it goes to. What is believed of that host
                comes first unless it is that it lives, so that it can refute.
        """
        chosen: list[records.Record] = []
        room = _MAX_OCTETS
        if about is not None:
            record = self._table.get(about)
            if record is not None and record.claim is not records.Claim.ALIVE:
                chosen.append(record)
                room -= self._measure(record)
        told: list[_News] = []
        while self._queue and room > 0:
            news = heapq.heappop(self._queue)
            if self._current.get(news.host) != news.number:
                continue  # A newer entry of this host is queued.
            record = self._table.get(news.host)
            if record is None:
                del self._current[news.host]
                continue
            octets = self._measure(record)
            if not self._budget.take(octets):
                heapq.heappush(self._queue, news)
                break
            told.append(news)
            room -= octets
            if news.host != about:
                chosen.append(record)
        self._requeue(told)
        return tuple(chosen)

    def _requeue(self, told: list[_News]) -> None:
        most = _SPREAD_FACTOR * math.ceil(math.log2(len(self._table) + 1))
        for news in told:
            if news.times + 1 < most:
                self._push(news.times + 1, news.host)
            else:
                del self._current[news.host]

    def _push(self, times: int, host: ids.HostId) -> None:
        self._number += 1
        self._current[host] = self._number
        record = self._table.get(host)
        urgent = record is not None and record.claim in _URGENT
        news = _News(not urgent, times, self._number, host)
        heapq.heappush(self._queue, news)
