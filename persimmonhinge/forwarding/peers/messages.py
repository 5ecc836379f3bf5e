"""Messages between hosts, as msgpack arrays."""

from __future__ import annotations

import msgspec

from persimmonhinge.forwarding import flow as flows


class LoadLine(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a host sees of one upstream.

    Attributes:
        token: Routing token of the upstream.
        in_flight: Requests that it has from this host now.
        average: Average of that over some seconds, in hundredths.
        missed: Opening packets in a row that it left unanswered.
    """

    token: int
    in_flight: int
    average: int
    missed: int = 0


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """What a host tells the others at short intervals, as one datagram.

    Attributes:
        host: Name of the host.
        incarnation: Number of its process, drawn at its start.
        sequence: Number of the report within the process.
        domain: Its failure domain.
        revision: Revision of the store that its knowledge is complete to.
        age_ms: How long ago the store last confirmed that, milliseconds; -1
            if it never did.
        leaving: True once a planned stop has begun.
        loads: Upstreams that have work or are in doubt.
        peers: Some other hosts that it hears.
    """

    host: str
    incarnation: int
    sequence: int
    domain: str
    revision: int
    age_ms: int
    leaving: bool
    loads: tuple[LoadLine, ...]
    peers: tuple[flows.Endpoint, ...]


class EntryLine(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the store.

    Attributes:
        key: Its key.
        value: Its value; None if it was deleted.
        revision: Revision of the store of its last change.
    """

    key: str
    value: bytes | None
    revision: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="snapshot"):
    """All that a host knows, for one that knows less.

    Attributes:
        revision: Revision of the store that the entries are complete to.
        entries: The entries, those that were deleted lately included.
        peers: Hosts that it hears.
    """

    revision: int
    entries: tuple[EntryLine, ...]
    peers: tuple[flows.Endpoint, ...]
