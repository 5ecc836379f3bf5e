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


class KeyRecord(base.Message, array_like=True, frozen=True):
    """The ring of ticket keys at one revision.

    Attributes:
        revision: mod_revision of its key in the platform; 0 for none.
        body: The ring as JSON. Secret: never logged or shown.
    """

    revision: ids.Revision
    body: bytes

    def __repr__(self) -> str:
        return f"KeyRecord(revision={self.revision})"


@base.message_kind("knowledge-query")
class KnowledgeQuery(base.Message, array_like=True, frozen=True):
    """Tells what one knows and asks for what is newer; see `Knowledge`.

    Attributes:
        revisions: Revision of each contract known, tombstones included.
        key_revision: Revision of the ticket keys known.
    """

    revisions: dict[str, int]
    key_revision: int = 0


@base.message_kind("knowledge")
class Knowledge(base.Message, array_like=True, frozen=True):
    """Records to take in if newer; answers `KnowledgeQuery` or is sent alone.

    Attributes:
        contracts: Contract records.
        keys: Ticket keys, None if the other side has these already.
        wanted: Services of which the sender lacks what the asker has.
    """

    contracts: tuple[ContractRecord, ...] = ()
    keys: KeyRecord | None = None
    wanted: tuple[str, ...] = ()


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
