"""Record updates sent with heartbeats, limited in size and rate."""

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
    """A queue entry for an updated record; the smallest entry is sent first.

    Deaths and suspicions are sent before the updates of hosts that started or
    returned, of which there may be hundreds. A suspected host must receive
    the suspicion in time to refute it.
    """

    can_wait: bool
    send_count: int
    sequence: int
    host: ids.HostId


class Gossip:
    """Chooses the updated records that a datagram carries.

    Each update is sent in about 3 * log2(number of hosts) datagrams, which
    reaches all hosts with high probability; the state exchange delivers
    updates that gossip missed. Within the same urgency, the update that was
    sent the fewest times goes first. A budget limits the octets per second
    regardless of the number of datagrams sent.
    """

    def __init__(
        self,
        table: table_module.Table,
        measure_record: Callable[[record_module.Record], int],
        now: Callable[[], float],
    ) -> None:
        """Creates an empty queue.

        Args:
            table: Holds the records of all hosts.
            measure_record: Returns the encoded size of a record, octets.
            now: Returns the monotonic time, seconds.
        """
        self._table = table
        self._measure_record = measure_record
        self._budget = budgets.OctetBudget(_OCTETS_PER_S, _BURST_OCTETS, now)
        self._queue: list[_QueueEntry] = []
        self._latest_sequences: dict[ids.HostId, int] = {}
        self._last_sequence = 0

    def __len__(self) -> int:
        return len(self._latest_sequences)

    def add(self, host: ids.HostId) -> None:
        """Queues a host's updated record in place of its earlier entry."""
        self._push_entry(0, host)

    def choose_records(
        self, *, recipient: ids.HostId | None
    ) -> tuple[record_module.Record, ...]:
        """Returns the records to send in one datagram.

        Args:
            recipient: The host that receives the datagram. Its own record
                comes first unless the claim is ALIVE, so that the host can
                refute the claim.
        """
        chosen: list[record_module.Record] = []
        remaining_octets = _MAX_OCTETS_PER_DATAGRAM
        if recipient is not None:
            record = self._table.get(recipient)
            if (
                record is not None
                and record.claim is not record_module.Claim.ALIVE
            ):
                chosen.append(record)
                remaining_octets -= self._measure_record(record)
        sent: list[_QueueEntry] = []
        while self._queue and remaining_octets > 0:
            queue_entry = heapq.heappop(self._queue)
            if (
                self._latest_sequences.get(queue_entry.host)
                != queue_entry.sequence
            ):
                continue  # A newer entry of this host is queued.
            record = self._table.get(queue_entry.host)
            if record is None:
                del self._latest_sequences[queue_entry.host]
                continue
            octets = self._measure_record(record)
            if not self._budget.try_spend(octets):
                heapq.heappush(self._queue, queue_entry)
                break
            sent.append(queue_entry)
            remaining_octets -= octets
            if queue_entry.host != recipient:
                chosen.append(record)
        self._requeue(sent)
        return tuple(chosen)

    def _requeue(self, sent: list[_QueueEntry]) -> None:
        max_sends = _SPREAD_FACTOR * math.ceil(math.log2(len(self._table) + 1))
        for queue_entry in sent:
            if queue_entry.send_count + 1 < max_sends:
                self._push_entry(queue_entry.send_count + 1, queue_entry.host)
            else:
                del self._latest_sequences[queue_entry.host]

    def _push_entry(self, send_count: int, host: ids.HostId) -> None:
        self._last_sequence += 1
        self._latest_sequences[host] = self._last_sequence
        record = self._table.get(host)
        urgent = record is not None and record.claim in _URGENT_CLAIMS
        queue_entry = _QueueEntry(
            not urgent, send_count, self._last_sequence, host
        )
        heapq.heappush(self._queue, queue_entry)
