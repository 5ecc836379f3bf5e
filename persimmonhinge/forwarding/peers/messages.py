"""Messages between hosts, as msgpack arrays."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import entry_line
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import load_line


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """What a host tells the others at short intervals, as one datagram.

    Attributes:
        host: Name of the host.
        incarnation: Number of its process, drawn at its start.
        sequence: Number of the report within the process.
        interval_ms: Time until its next report to the same host, milliseconds.
        domain: Its failure domain.
        revision: Revision of the store that its knowledge is complete to.
        age_ms: How long ago the store last confirmed that, milliseconds; -1
            if it never did.
        leaving: True once a planned stop has begun.
        reaches_store: False after the store has failed to answer it.
        loads: Upstreams that have work or are in doubt.
        peers: Some other hosts that it hears.
        upstreams_revision: Revision that its knowledge of upstreams is
            complete to; beyond `revision` while it lacks a desired state. 0
            from hosts of earlier releases, which know no difference.
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
    loads: tuple[load_line.LoadLine, ...]
    peers: tuple[flow.Endpoint, ...]
    upstreams_revision: int = 0

    def compute_upstreams_revision(self) -> int:
        """Returns the revision that its upstreams are complete to."""
        return max(self.revision, self.upstreams_revision)


class EntryUpdate(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Entries that the store has just told a host, as one datagram.

    Attributes:
        after: Revision that the receiver must be complete to, so that it is
            complete to `upto` with these entries.
        upto: That revision.
        settled: False if the store has just returned from an outage, so that
            entries that are not there may come back.
        entries: The entries, in the order of their changes.
        upstreams_upto: Beyond `upto` if a desired state was left out: a
            receiver whose upstreams are complete to `after` has them complete
            to this revision.
    """

    base_revision: int
    revision: int
    is_absence_final: bool
    entries: tuple[entry_line.EntryLine, ...]
    upstreams_revision: int = 0


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the entries that changed after a revision.

    Attributes:
        since: The revision.
        packed: Whether the answer may be compressed.
        short: Whether a long desired state is to be left out.
        may_be_refused: Whether the host understands a refusal.
    """

    after_revision: int
    accepts_compression: bool = False
    omits_long_state: bool = False
    accepts_refusal: bool = False


class CompressedMessage(
    msgspec.Struct, frozen=True, array_like=True, tag="packed"
):
    """Another message that is compressed.

    Attributes:
        octets: The message as octets, compressed as by zlib.
    """

    octets: bytes


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """What a host knows, for one that knows less.

    Attributes:
        revision: Revision of the store that the entries are complete to.
        settled: As in `News`.
        entries: The entries that changed after the revision asked for, those
            that were deleted included.
        peers: Hosts that it hears.
        whole: True if an upstream that the entries do not name is gone: the
            deletions since then are not kept any more.
        state_revision: Revision up to which a desired state was left out, so
            that the entries are complete for upstreams alone; 0 if none was.
        busy: True if the host gives its desired state to enough others
            already, and so gives nothing now.
    """

    revision: int
    is_absence_final: bool
    entries: tuple[entry_line.EntryLine, ...]
    peers: tuple[flow.Endpoint, ...]
    lists_all_entries: bool = False
    omitted_state_revision: int = 0
    busy: bool = False
