"""Messages between forwarding hosts, encoded as msgpack arrays."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream_load


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """The state of a host, sent to other hosts periodically in one datagram.

    Attributes:
        host: Name of the host.
        incarnation: Random number of its process, generated at its start.
        sequence: Number of the report within the process.
        interval_ms: Time until its next report to the same host, milliseconds.
        domain: Its failure domain.
        revision: Revision of the store that its entries are complete to.
        age_ms: Time since the store last confirmed that, milliseconds; -1 if
            it never did.
        leaving: True once a planned stop has begun.
        reaches_store: False after the store has failed to answer it.
        loads: Loads of the upstreams that have work or are suspected.
        peers: Addresses of a sample of the hosts that report to it.
        upstreams_revision: Revision that its entries of upstreams are complete
            to; beyond `revision` while a desired state is missing. 0 from
            hosts of earlier releases, which do not distinguish the two.
        demands: Demand for services; empty from hosts without overload control
            and from hosts of earlier releases.
    """

    host: str
    incarnation: int
    sequence: int
    interval_ms: int
    domain: str
    revision: int
    age_ms: int
    leaving: bool
    reaches_store: bool
    loads: tuple[upstream_load.UpstreamLoad, ...]
    peers: tuple[flow.Endpoint, ...]
    upstreams_revision: int = 0
    demands: tuple[service_demand.ServiceDemand, ...] = ()

    def compute_upstreams_revision(self) -> int:
        """Returns the revision that the upstream entries are complete to."""
        return max(self.revision, self.upstreams_revision)


class EntryUpdate(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Entries that have just changed in the store, sent in one datagram.

    Attributes:
        base_revision: Revision that the receiver must be complete to before
            it applies the update.
        revision: Revision that such a receiver is complete to afterwards.
        is_absence_final: False if the store has just returned from an outage,
            so that missing entries may come back.
        entries: The entries, in the order of their changes.
        upstreams_revision: Beyond `revision` if a desired state was omitted:
            a receiver whose entries of upstreams are complete to
            `base_revision` has them complete to this revision afterwards.
    """

    base_revision: int
    revision: int
    is_absence_final: bool
    entries: tuple[store_entry.StoreEntry, ...]
    upstreams_revision: int = 0


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Request for a snapshot of the entries that changed after a revision.

    Attributes:
        after_revision: Revision that the requesting host is complete to.
        accepts_compression: Whether the answer may be compressed.
        omits_long_state: Whether the snapshot omits a long desired state.
        accepts_refusal: Whether the requesting host understands a refusal.
    """

    after_revision: int
    accepts_compression: bool = False
    omits_long_state: bool = False
    accepts_refusal: bool = False


class CompressedMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="packed"
):
    """A compressed message.

    Attributes:
        octets: The encoded message, compressed by zlib.
    """

    octets: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """The entries of a host, for a host that is behind.

    Attributes:
        revision: Revision of the store that the entries are complete to.
        is_absence_final: See `EntryUpdate`.
        entries: The entries that changed after the requested revision,
            including deleted ones.
        peers: Addresses of hosts that report to the answering host.
        lists_all_entries: True if an upstream without an entry here has ended:
            the deletions since the requested revision are no longer stored.
        omitted_state_revision: Revision up to which a desired state was
            omitted, so that the entries are complete for upstreams only; 0 if
            none was omitted.
        busy: True if the request is refused because the host is already
            sending its desired state to as many hosts as it may.
    """

    revision: int
    is_absence_final: bool
    entries: tuple[store_entry.StoreEntry, ...]
    peers: tuple[flow.Endpoint, ...]
    lists_all_entries: bool = False
    omitted_state_revision: int = 0
    busy: bool = False
