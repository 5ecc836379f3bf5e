"""Judges whether the platform continues what hosts have seen of it."""

from __future__ import annotations

from collections.abc import Iterable
import logging

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.peers.messages import control

logger = logging.getLogger(__name__)

Named = dict[str, record_sets.Record]


class History:
    """Compares what the platform holds with what is in force.

    Guards against a platform that was restored from an older copy or
    replaced: it lacks contracts that were accepted after the copy was made,
    and following it would take them out of force. An absent key alone is
    therefore no delete. It is one if the platform shows the delete itself.
    When the events of that time are compacted, it is one if this host has
    read from the platform both the absent record and a newer one, and the
    newer one still stands there: the copy was then made after both.
    """

    def __init__(self, records: record_sets.Records) -> None:
        self._records = records
        self._absent: dict[str, int] = {}
        self._behind: dict[str, int] = {}
        self._compacted = False
        self._read_revision = 0

    def compare(
        self,
        known: Named,
        confirmed: Named,
        found: dict[str, record_sets.Record | None],
        revision: int,
    ) -> int:
        """Notes what the platform lacks of what was in force.

        Args:
            known: Records in force before the platform was read.
            confirmed: What this host itself read there the last time.
            found: What the platform holds, by name; None if unreadable.
            revision: Revision of the store at which it was read.

        Returns:
            Revision from which the watch has to begin to show the deletes.
        """
        self._read_revision = revision
        known = {n: r for n, r in known.items() if r.revision <= revision}
        self._behind = {
            name: record.revision
            for name, record in known.items()
            if _is_older(found.get(name), record)
        }
        absent = [
            record
            for name, record in known.items()
            if name not in found and not record_sets.is_tombstone(record)
        ]
        self._absent = {record_sets.name_record(r): r.revision for r in absent}
        if self._behind:
            logger.error(
                "Platform holds older revisions than are in force: %s",
                ", ".join(sorted(self._behind)),
            )
            return revision + 1
        if self._compacted:
            self._compacted = False
            anchor = _find_anchor(confirmed, found)
            self._accept_deletes(
                [r for r in absent if r in confirmed.values()], anchor
            )
            return revision + 1
        return 1 + min([revision, *self._absent.values()])

    def note_compacted(self) -> None:
        """Notes that the platform no longer shows the deletes."""
        self._compacted = True

    def note_replayed(self) -> int:
        """Notes that the platform has shown all that it has to show.

        Returns:
            Revision of the store at which all records were read.
        """
        lacking = self.lacking()
        if lacking:
            logger.error(
                "Platform lacks, without a delete, what stays in force: %s",
                ", ".join(lacking),
            )
        return self._read_revision

    def lacking(self) -> list[str]:
        """Returns names of records in force that the platform lacks."""
        return self._still_known(self._absent)

    def behind(self) -> list[str]:
        """Returns names of records that the platform has older ones of."""
        return self._still_known(self._behind)

    def _accept_deletes(
        self, absent: Iterable[record_sets.Record], anchor: int
    ) -> None:
        deleted = [
            _make_tombstone(record, ids.Revision(self._read_revision))
            for record in absent
            if record.revision < anchor
        ]
        tombstones = [record for record in deleted if record is not None]
        self._records.take_in(record_sets.pack(tombstones), "platform")

    def _still_known(self, revisions: dict[str, int]) -> list[str]:
        if not revisions:
            return []
        now = name_all(self._records.all())
        return sorted(
            name
            for name, revision in revisions.items()
            if name in now and now[name].revision == revision
        )


def check_revision(revision: int, floor: int) -> None:
    """Checks that the store is not behind what was already seen.

    Raises:
        PlatformWentBackError: It is.
    """
    if revision < floor:
        raise errors.PlatformWentBackError(
            f"shows revision {revision} after {floor} was in force",
            step="read platform",
        )


def name_all(records: Iterable[record_sets.Record]) -> Named:
    """Returns records by their names."""
    return {record_sets.name_record(r): r for r in records}


def _is_older(
    found: record_sets.Record | None, known: record_sets.Record
) -> bool:
    return found is not None and found.revision < known.revision


def _find_anchor(
    confirmed: Named, found: dict[str, record_sets.Record | None]
) -> int:
    """Returns the revision of the newest record that still stands."""
    same = [r.revision for n, r in confirmed.items() if found.get(n) == r]
    return max(same, default=0)


def _make_tombstone(
    record: record_sets.Record, revision: ids.Revision
) -> record_sets.Record | None:
    if isinstance(record, control.ContractRecord):
        return control.ContractRecord(record.service, revision, b"")
    if isinstance(record, control.DrainRecord):
        return control.DrainRecord(record.host, revision, False)
    # The ring of ticket keys is never deleted.
    return None
