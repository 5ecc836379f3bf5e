"""News that ride on heartbeats, in bounded size and number."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import heapq
import math

from persimmonhinge import ids
from persimmonhinge.membership import budgets
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import table as table_module

_SPREAD_FACTOR = 3
_MAX_OCTETS_PER_DATAGRAM = 450
_OCTETS_PER_S = 4_000.0
_BURST_OCTETS = 8_000.0
_URGENT_CLAIMS = (record_module.Claim.SUSPECT, record_module.Claim.DEAD)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class _QueueEntry:
    """A place in the queue; the least goes first.

    A death does not wait behind hundreds of hosts that have started or come
    back, and neither does a suspicion, which its host has to hear of in time.
    """

    can_wait: bool
    send_count: int
    sequence: int
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
        table: table_module.Table,
        measure: Callable[[record_module.Record], int],
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
        self._queue: list[_QueueEntry] = []
        self._latest_sequences: dict[ids.HostId, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._latest_sequences)

    def add(self, host: ids.HostId) -> None:
        """Queues the record of a host; an earlier one of it is dropped."""
        self._push_entry(0, host)

    def choose_records(
        self, *, recipient: ids.HostId | None
    ) -> tuple[record_module.Record, ...]:
        """Returns the news for one datagram.

        Args:
            about: The host that it goes to. What is believed of that host
                comes first unless it is that it lives, so that it can refute.
        """
        chosen: list[record_module.Record] = []
        room = _MAX_OCTETS_PER_DATAGRAM
        if recipient is not None:
            record = self._table.get(recipient)
            if (
                record is not None
                and record.claim is not record_module.Claim.ALIVE
            ):
                chosen.append(record)
                room -= self._measure(record)
        told: list[_QueueEntry] = []
        while self._queue and room > 0:
            news = heapq.heappop(self._queue)
            if self._latest_sequences.get(news.host) != news.sequence:
                continue  # A newer entry of this host is queued.
            record = self._table.get(news.host)
            if record is None:
                del self._latest_sequences[news.host]
                continue
            octets = self._measure(record)
            if not self._budget.try_spend(octets):
                heapq.heappush(self._queue, news)
                break
            told.append(news)
            room -= octets
            if news.host != recipient:
                chosen.append(record)
        self._requeue(told)
        return tuple(chosen)

    def _requeue(self, sent: list[_QueueEntry]) -> None:
        most = _SPREAD_FACTOR * math.ceil(math.log2(len(self._table) + 1))
        for news in sent:
            if news.send_count + 1 < most:
                self._push_entry(news.send_count + 1, news.host)
            else:
                del self._latest_sequences[news.host]

    def _push_entry(self, send_count: int, host: ids.HostId) -> None:
        self._last_sequence += 1
        self._latest_sequences[host] = self._last_sequence
        record = self._table.get(host)
        urgent = record is not None and record.claim in _URGENT_CLAIMS
        news = _QueueEntry(not urgent, send_count, self._last_sequence, host)
        heapq.heappush(self._queue, news)
