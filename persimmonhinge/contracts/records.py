"""All that spreads between hosts: contracts, ticket keys and drains."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import logging

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import drains as drain_stores
from persimmonhinge.contracts import store as contract_stores
from persimmonhinge.keys import store as key_stores
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers.messages import control
from persimmonhinge.store import keys as platform_keys

logger = logging.getLogger(__name__)

_DIGEST_OCTETS = 8
# Octets of bodies in one message; what is above goes into the next one.
CHUNK_OCTETS = 65_536

Record = control.ContractRecord | control.KeyRecord | control.DrainRecord


class Records:
    """Reads and fills the three stores of records that spread.

    Attributes:
        contracts: The contracts.
        keys: The ticket keys.
        drains: The hosts that are asked to leave, and the failure domains
            that are evacuated.
    """

    def __init__(
        self,
        contracts: contract_stores.ContractStore,
        keys: key_stores.KeyStore,
        drains: drain_stores.DrainStore,
        counts: host_counts.Counts,
    ) -> None:
        self.contracts = contracts
        self.keys = keys
        self.drains = drains
        self._counts = counts
        self._digest = b""
        self._digest_versions = (-1, -1, -1)
        self._refused: dict[str, ids.Revision] = {}

    def take_in(
        self, knowledge: control.Knowledge, source: str
    ) -> control.Knowledge:
        """Offers all records to their stores.

        A record that can't be read is refused, counted and not returned, so
        that it spreads no further; the former one stays in force.

        Args:
            knowledge: The records.
            source: Where they come from, for the log.

        Returns:
            The records that were newer and are now in force.
        """
        keys = knowledge.keys
        return control.Knowledge(
            contracts=tuple(
                r for r in knowledge.contracts if self._offer(r, source)
            ),
            keys=keys if keys and self._offer(keys, source) else None,
            drains=tuple(r for r in knowledge.drains if self._offer(r, source)),
        )

    def digest(self) -> bytes:
        """Returns a hash that is the same on hosts that know the same."""
        versions = (
            self.contracts.changed.version,
            self.keys.changed.version,
            self.drains.changed.version,
        )
        if versions != self._digest_versions:
            self._digest = self._compute_digest()
            self._digest_versions = versions
        return self._digest

    def summarize(self) -> control.KnowledgeQuery:
        """Returns what this host knows, as a question for what is newer."""
        return control.KnowledgeQuery(
            revisions=self.contracts.revisions(),
            key_revision=self.keys.record.revision,
            drains=self.drains.revisions(),
            digest=self.digest(),
        )

    def answer(self, query: control.KnowledgeQuery) -> control.Knowledge:
        """Returns what the asker lacks, and names what this host lacks.

        If the digests differ where no revision does, two bodies stand at the
        same revision: a restored platform gave the revision twice. All
        records are then sent, and the stores decide.
        """
        newer = self._find_newer(query)
        wanted = _find_behind(query.revisions, self.contracts.revisions())
        wanted_drains = _find_behind(query.drains, self.drains.revisions())
        wants_keys = query.key_revision > self.keys.record.revision
        lacks = bool(wanted or wanted_drains or wants_keys)
        if not newer and not lacks and query.digest not in (b"", self.digest()):
            newer = self.all()
        chunks = list(split(newer))
        first = chunks[0] if chunks else control.Knowledge()
        return control.Knowledge(
            contracts=first.contracts,
            keys=first.keys,
            wanted=wanted,
            drains=first.drains,
            wanted_drains=wanted_drains,
            wants_keys=wants_keys,
            more=len(chunks) > 1,
        )

    def collect_wanted(self, answer: control.Knowledge) -> list[Record]:
        """Returns the records that the sender of an answer lacks."""
        contracts = set(answer.wanted)
        drains = set(answer.wanted_drains)
        wanted: list[Record] = [
            r for r in self.contracts.records() if r.service in contracts
        ]
        wanted += [r for r in self.drains.records() if r.host in drains]
        if answer.wants_keys and self.keys.record.revision:
            wanted.append(self.keys.record)
        return wanted

    def all(self) -> list[Record]:
        """Returns all records that this host holds."""
        records: list[Record] = list(self.drains.records())
        if self.keys.record.revision:
            records.append(self.keys.record)
        records += self.contracts.records()
        return records

    def highest_revision(self) -> int:
        """Returns the highest revision of any record; 0 without one."""
        return max((r.revision for r in self.all()), default=0)

    def refused(self) -> dict[str, ids.Revision]:
        """Returns the last revision refused as unreadable, by record."""
        return dict(self._refused)

    def refuse(self, name: str, revision: ids.Revision, cause: str) -> None:
        """Counts a record that can't be read; logs each revision once."""
        self._counts.add("control_records_refused_total", cause="unreadable")
        if self._refused.get(name) == revision:
            return
        self._refused[name] = revision
        logger.error("Refused %s at revision %d: %s", name, revision, cause)

    def _offer(self, record: Record, source: str) -> bool:
        try:
            taken, known = self._offer_to_store(record)
        except (errors.ContractError, errors.KeyRingError) as error:
            self.refuse(
                name_record(record), record.revision, f"{error} ({source})"
            )
            return False
        if taken:
            self._counts.add("control_records_taken_total")
            self._refused.pop(name_record(record), None)
            logger.info(
                "In force: %s at revision %d from %s.",
                name_record(record),
                record.revision,
                source,
            )
        elif record.revision < known:
            self._counts.add("control_records_refused_total", cause="older")
        return taken

    def _offer_to_store(self, record: Record) -> tuple[bool, int]:
        """Returns whether it was taken, and the revision now known."""
        if isinstance(record, control.ContractRecord):
            taken = self.contracts.offer(record)
            contract = self.contracts.get_record(record.service)
            return taken, contract.revision if contract else 0
        if isinstance(record, control.DrainRecord):
            taken = self.drains.offer(record)
            self.contracts.set_evacuated(self.drains.evacuated())
            drain = self.drains.get_record(record.host)
            return taken, drain.revision if drain else 0
        return self.keys.offer(record), self.keys.record.revision

    def _find_newer(self, query: control.KnowledgeQuery) -> list[Record]:
        newer: list[Record] = [
            r
            for r in self.drains.records()
            if r.revision > query.drains.get(r.host, 0)
        ]
        if self.keys.record.revision > query.key_revision:
            newer.append(self.keys.record)
        newer += [
            r
            for r in self.contracts.records()
            if r.revision > query.revisions.get(r.service, 0)
        ]
        return newer

    def _compute_digest(self) -> bytes:
        total = hashlib.blake2b(digest_size=_DIGEST_OCTETS)
        for record in sorted(self.all(), key=name_record):
            body = hashlib.blake2b(_body(record), digest_size=_DIGEST_OCTETS)
            total.update(f"{name_record(record)}\n{record.revision}\n".encode())
            total.update(body.digest())
        return total.digest()


def split(records: Iterable[Record]) -> Iterator[control.Knowledge]:
    """Packs records into messages of a bounded size."""
    chunk: list[Record] = []
    octets = 0
    for record in records:
        size = len(_body(record))
        if chunk and octets + size > CHUNK_OCTETS:
            yield pack(chunk)
            chunk = []
            octets = 0
        chunk.append(record)
        octets += size
    if chunk:
        yield pack(chunk)


def pack(records: Iterable[Record]) -> control.Knowledge:
    """Packs records into one message."""
    contracts: list[control.ContractRecord] = []
    drains: list[control.DrainRecord] = []
    keys: control.KeyRecord | None = None
    for record in records:
        if isinstance(record, control.ContractRecord):
            contracts.append(record)
        elif isinstance(record, control.DrainRecord):
            drains.append(record)
        else:
            keys = record
    return control.Knowledge(
        contracts=tuple(contracts), keys=keys, drains=tuple(drains)
    )


def _find_behind(
    theirs: dict[str, int], mine: dict[str, int]
) -> tuple[str, ...]:
    return tuple(n for n, r in theirs.items() if r > mine.get(n, 0))


def name_record(record: Record) -> str:
    """Returns the name of a record: its key below the deployment's prefix."""
    if isinstance(record, control.ContractRecord):
        return platform_keys.CONTRACTS + record.service
    if isinstance(record, control.DrainRecord):
        return platform_keys.HOST_DRAINS + record.host
    return platform_keys.TICKET_KEYS


def is_tombstone(record: Record) -> bool:
    """Tells whether a record says that its key was deleted."""
    if isinstance(record, control.DrainRecord):
        return not record.drained
    return not record.body


def _body(record: Record) -> bytes:
    if isinstance(record, control.DrainRecord):
        return b"drained" if record.drained else b""
    return record.body
