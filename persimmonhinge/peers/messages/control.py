"""Contracts and secrets as they spread between hosts."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.peers.messages import base


class ContractRecord(base.Message, array_like=True, frozen=True):
    """One contract at one revision; a delete is a record without a body.

    Attributes:
        service: Name of the service.
        revision: mod_revision of its key in the platform.
        body: The contract as JSON; empty if it was deleted.
    """

    service: ids.ServiceName
    revision: ids.Revision
    body: bytes

    @property
    def version(self) -> tuple[int, bytes]:
        """What decides between two records: the greater one is in force."""
        return (self.revision, self.body)


class KeyRecord(base.Message, array_like=True, frozen=True):
    """The ring of ticket keys at one revision.

    Attributes:
        revision: mod_revision of its key in the platform; 0 for none.
        body: The ring as JSON. Secret: never logged or shown.
    """

    revision: ids.Revision
    body: bytes

    @property
    def version(self) -> tuple[int, bytes]:
        """What decides between two records: the greater one is in force."""
        return (self.revision, self.body)

    def __repr__(self) -> str:
        return f"KeyRecord(revision={self.revision})"


class DrainRecord(base.Message, array_like=True, frozen=True):
    """Whether a host is asked to leave, at one revision.

    Attributes:
        host: Name of the host, or of a failure domain that is evacuated; see
            `drains.make_domain_target`.
        revision: mod_revision of its drain key in the platform.
        drained: False once the key was deleted.
    """

    host: ids.HostId
    revision: ids.Revision
    drained: bool

    @property
    def version(self) -> tuple[int, bool]:
        """What decides between two records: the greater one is in force."""
        return (self.revision, self.drained)


@base.message_kind("knowledge-digest")
class KnowledgeDigest(base.Message, array_like=True, frozen=True):
    """Asks whether the other side knows the same; answered by its own.

    Attributes:
        digest: Hash of all records of the sender.
        ready: True if the sender has synchronized with the platform or with
            a host that has.
    """

    digest: bytes
    ready: bool


@base.message_kind("knowledge-query")
class KnowledgeQuery(base.Message, array_like=True, frozen=True):
    """Tells what one knows and asks for what is newer; see `Knowledge`.

    Attributes:
        revisions: Revision of each contract known, tombstones included.
        key_revision: Revision of the ticket keys known.
        drains: Revision of each drain known, tombstones included.
        digest: Hash of all records of the sender; empty if it is not told.
    """

    revisions: dict[str, int]
    key_revision: int = 0
    drains: dict[str, int] = {}
    digest: bytes = b""


@base.message_kind("knowledge")
class Knowledge(base.Message, array_like=True, frozen=True):
    """Records to take in if newer; answers `KnowledgeQuery` or is sent alone.

    Attributes:
        contracts: Contract records.
        keys: Ticket keys, None if the other side has these already.
        wanted: Services of which the sender lacks what the asker has.
        drains: Drain records.
        wanted_drains: Hosts of which the sender lacks the drain record.
        wants_keys: True if the sender lacks the asker's ticket keys.
        more: True if records were left out to keep the message small; the
            asker queries again.
    """

    contracts: tuple[ContractRecord, ...] = ()
    keys: KeyRecord | None = None
    wanted: tuple[str, ...] = ()
    drains: tuple[DrainRecord, ...] = ()
    wanted_drains: tuple[str, ...] = ()
    wants_keys: bool = False
    more: bool = False

    @property
    def records(self) -> int:
        """Number of records in it."""
        keys = 0 if self.keys is None else 1
        return len(self.contracts) + keys + len(self.drains)


@base.message_kind("status-query")
class StatusQuery(base.Message, array_like=True, frozen=True):
    """Asks a host for its status."""


@base.message_kind("status")
class Status(base.Message, array_like=True, frozen=True):
    """The status of a host as the operators see it.

    Attributes:
        host: Name of the host.
        document: JSON object; docs/use/operations.md lists its members.
    """

    host: ids.HostId
    document: bytes
