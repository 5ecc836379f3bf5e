"""The current record of each host, with digests for comparing tables."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import struct

import msgspec
import xxhash

from persimmonhinge import ids
from persimmonhinge.membership import record as record_module

BUCKET_COUNT = 64
_DIGESTS = struct.Struct(f">{BUCKET_COUNT}I")


@dataclasses.dataclass(slots=True)
class _Entry:
    record: record_module.Record
    digest: int
    died_at: float | None


class Table:
    """Records of all hosts, including this one.

    Records are assigned to a fixed number of buckets by host name. Each
    bucket has a digest, the exclusive or of its records' digests, which is
    updated at each change. The cost of comparing two tables therefore does
    not depend on their size.
    """

    def __init__(self, forget_s: float, now: Callable[[], float]) -> None:
        """Creates an empty table.

        Args:
            forget_s: Retention time of dead hosts, seconds.
            now: Returns the monotonic time, seconds.
        """
        self._forget_s = forget_s
        self._now = now
        self._entries: dict[ids.HostId, _Entry] = {}
        self._digests = [0] * BUCKET_COUNT

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, host: ids.HostId) -> record_module.Record | None:
        """Returns a host's record with its current age; None if unknown."""
        entry = self._entries.get(host)
        return None if entry is None else self._get_current_record(entry)

    def all(self) -> list[record_module.Record]:
        """Returns all records with their current ages."""
        return [
            self._get_current_record(entry) for entry in self._entries.values()
        ]

    def merge_record(self, record: record_module.Record) -> bool:
        """Stores a record if it prevails over the known record of the host.

        A DEAD record that has reached the retention time is ignored. This
        host may have removed it already, while others still hold it.

        Returns:
            True if the record is an update to send to other hosts; a higher
            age of a known death is not.
        """
        if record.age_s >= self._forget_s:
            return False
        known = self.get(record.host)
        if known is None:
            self._store_record(record)
            return True
        if record_module.merge(known, record) is known:
            return False
        self._store_record(record)
        return record.precedence != known.precedence

    def remove(self, host: ids.HostId) -> None:
        """Removes the record of a host."""
        entry = self._entries.pop(host, None)
        if entry is not None:
            self._digests[find_bucket(host)] ^= entry.digest

    def find_expired(self) -> list[ids.HostId]:
        """Returns the hosts that have been dead for the retention time."""
        limit = self._now() - self._forget_s
        return [
            host
            for host, entry in self._entries.items()
            if entry.died_at is not None and entry.died_at <= limit
        ]

    def digests(self) -> bytes:
        """Returns the digests of all buckets, four octets each."""
        return _DIGESTS.pack(*self._digests)

    def find_differing_buckets(self, digests: bytes) -> list[int]:
        """Returns the numbers of the buckets that differ.

        Digests of another length come from another version of the program;
        all buckets then count as different.
        """
        if len(digests) != _DIGESTS.size:
            return list(range(BUCKET_COUNT))
        other_digests = _DIGESTS.unpack(digests)
        return [
            number
            for number in range(BUCKET_COUNT)
            if other_digests[number] != self._digests[number]
        ]

    def select_records(
        self, buckets: Iterable[int]
    ) -> list[record_module.Record]:
        """Returns the records in the given buckets."""
        numbers = frozenset(buckets)
        return [
            self._get_current_record(entry)
            for host, entry in self._entries.items()
            if find_bucket(host) in numbers
        ]

    def _store_record(self, record: record_module.Record) -> None:
        self.remove(record.host)
        died_at = None
        if record.claim is record_module.Claim.DEAD:
            died_at = self._now() - record.age_s
        digest = xxhash.xxh32_intdigest(
            msgspec.msgpack.encode((record.host, record.precedence))
        )
        self._entries[record.host] = _Entry(record, digest, died_at)
        self._digests[find_bucket(record.host)] ^= digest

    def _get_current_record(self, entry: _Entry) -> record_module.Record:
        if entry.died_at is None:
            return entry.record
        age_s = int(self._now() - entry.died_at)
        return msgspec.structs.replace(entry.record, age_s=age_s)


def find_bucket(host: ids.HostId) -> int:
    """Returns the number of the bucket to which a host is assigned."""
    return xxhash.xxh32_intdigest(host.encode()) % BUCKET_COUNT
