"""News that ride on heartbeats, in bounded size and number."""

from __future__ import annotations

from collections.abc import Callable
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
        self._queue: list[tuple[int, int, ids.HostId]] = []
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
        told: list[tuple[int, ids.HostId]] = []
        while self._queue and room > 0:
            times, number, host = heapq.heappop(self._queue)
            if self._current.get(host) != number:
                continue  # A newer entry of this host is queued.
            record = self._table.get(host)
            if record is None:
                del self._current[host]
                continue
            octets = self._measure(record)
            if not self._budget.take(octets):
                heapq.heappush(self._queue, (times, number, host))
                break
            told.append((times + 1, host))
            room -= octets
            if host != about:
                chosen.append(record)
        self._requeue(told)
        return tuple(chosen)

    def _requeue(self, told: list[tuple[int, ids.HostId]]) -> None:
        most = _SPREAD_FACTOR * math.ceil(math.log2(len(self._table) + 1))
        for times, host in told:
            if times < most:
                self._push(times, host)
            else:
                del self._current[host]

    def _push(self, times: int, host: ids.HostId) -> None:
        self._number += 1
        self._current[host] = self._number
        heapq.heappush(self._queue, (times, self._number, host))
