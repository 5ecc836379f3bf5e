"""Messages between hosts, as msgpack arrays."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import entry_line as entry_lines
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding import load_line as load_lines


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
    loads: tuple[load_lines.LoadLine, ...]
    peers: tuple[flows.Endpoint, ...]


class News(msgspec.Struct, frozen=True, array_like=True, tag="news"):
    """Entries that the store has just told a host, as one datagram.

    Attributes:
        after: Revision that the receiver must be complete to, so that it is
            complete to `upto` with these entries.
        upto: That revision.
        settled: False if the store has just returned from an outage, so that
            entries that are not there may come back.
        entries: The entries, in the order of their changes.
    """

    after: int
    upto: int
    settled: bool
    entries: tuple[entry_lines.EntryLine, ...]


class PullRequest(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the entries that changed after a revision.

    Attributes:
        since: The revision.
        packed: Whether the answer may be compressed.
    """

    since: int
    packed: bool = False


class Packed(msgspec.Struct, frozen=True, array_like=True, tag="packed"):
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
    """

    revision: int
    settled: bool
    entries: tuple[entry_lines.EntryLine, ...]
    peers: tuple[flows.Endpoint, ...]
    whole: bool = False
