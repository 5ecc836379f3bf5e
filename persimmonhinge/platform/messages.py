"""Messages of the platform's store and its entries, as they are on the wire.

Members bear the platform's names by `rename`; inside, the project's own.
"""

from __future__ import annotations

import msgspec


class Item(msgspec.Struct):
    """A key as the store shows it, or the notice that it was deleted."""

    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")
    value: bytes = msgspec.field(name="Value", default=b"")
    deleted: bool = msgspec.field(name="Tombstone", default=False)


class RangeAnswer(msgspec.Struct):
    """A page of items, in order of their keys."""

    items: list[Item]
    # Revision of the whole store, not that of any item.
    revision: int = msgspec.field(name="CurrentRev")
    has_more: bool = msgspec.field(name="HasMore", default=False)


class WatchAnswer(msgspec.Struct):
    """Changes since the revision that was asked for."""

    events: list[Item]
    revision: int = msgspec.field(name="CurrentRev")


class Condition(msgspec.Struct):
    """A key was last changed at this revision; 0 means that it is absent."""

    key: str = msgspec.field(name="Key")
    revision: int = msgspec.field(name="Revision")


class Put(msgspec.Struct):
    """Writes a key; lease 0 is none."""

    key: str = msgspec.field(name="Key")
    value: bytes = msgspec.field(name="Value")
    lease: int = msgspec.field(name="Lease", default=0)


class Transaction(msgspec.Struct):
    """Writes and deletes all if all conditions hold."""

    conditions: list[Condition] = msgspec.field(name="Precondition")
    puts: list[Put] = msgspec.field(name="Writes")
    deletes: list[str] = msgspec.field(name="Deletes")


class TransactionAnswer(msgspec.Struct):
    """Revision of the store after the transaction."""

    revision: int = msgspec.field(name="Revision")


class LeaseRequest(msgspec.Struct):
    """Asks for a lease of a length, milliseconds."""

    length_ms: int = msgspec.field(name="TtlMs")


class LeaseAnswer(msgspec.Struct):
    """A new lease; its length may differ from the one asked for."""

    lease: int = msgspec.field(name="Lease")


class ServerEntry(msgspec.Struct):
    """What an upstream says of itself below `servers/`."""

    service: str = msgspec.field(name="Service")
    address: str = msgspec.field(name="Addr")
    domain: str = msgspec.field(name="Zone")
    state: str = msgspec.field(name="State")
    slots: int = msgspec.field(name="Slots", default=1)
    # How much longer it is slow after its start, as of its last write.
    cold_left_ms: int = msgspec.field(name="ColdLeftMs", default=0)


class Backend(msgspec.Struct):
    """One of several services of a route: a share of its new flows."""

    service: str = msgspec.field(name="Service")
    weight: float = msgspec.field(name="Weight")


class RouteEntry(msgspec.Struct):
    """A route of the desired state."""

    name: str = msgspec.field(name="Name")
    # Here an address of the platform, not the name of a host.
    address: str = msgspec.field(name="Host")
    # Here a port between slashes, not the start of a path.
    port: str = msgspec.field(name="Prefix")
    kind: str = msgspec.field(name="Kind", default="")
    priority: int = msgspec.field(name="Priority", default=0)
    service: str = msgspec.field(name="Service", default="")
    backends: list[Backend] = msgspec.field(
        name="Backends", default_factory=list
    )


class LimitsEntry(msgspec.Struct):
    """Limits of the desired state; only one means something for flows."""

    idle_timeout_ms: int = msgspec.field(name="IdleTimeoutMs", default=15_000)


class DesiredStateEntry(msgspec.Struct):
    """The whole desired state, under `op/config`."""

    version: int = msgspec.field(name="Version")
    routes: list[RouteEntry] = msgspec.field(
        name="Routes", default_factory=list
    )
    limits: LimitsEntry = msgspec.field(
        name="Limits", default_factory=LimitsEntry
    )
