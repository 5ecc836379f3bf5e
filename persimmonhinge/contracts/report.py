"""How the control part of a host stands, as the operators see it."""

from __future__ import annotations

import msgspec

from persimmonhinge.contracts import records as record_sets
from persimmonhinge.contracts import watcher as watchers


class ControlReport(msgspec.Struct, frozen=True):
    """One host's knowledge; it holds no secrets.

    Attributes:
        ready: True once it has synchronized with the platform or a peer.
        platform: See `watcher.PlatformState`.
        store_revision: Revision of the platform up to which it was followed.
        contracts: Revision of each contract, deleted ones included.
        deleted: Services whose contract was deleted.
        drained: Hosts that are asked to leave.
        evacuated: Failure domains whose upstreams get no new work.
        key_revision: Revision of the ticket keys.
        key_age_s: Seconds since they were taken in; see `rotation.HostKeys`.
        key_states: State of each ticket key by its id.
        refused: Revision of each record that can't be read.
        lacking: Records in force that the platform lacks without a delete.
        behind: Records in force of which the platform holds an older one.
    """

    ready: bool
    platform: str
    store_revision: int
    contracts: dict[str, int]
    deleted: list[str]
    drained: list[str]
    evacuated: list[str]
    key_revision: int
    key_age_s: float
    key_states: dict[str, str]
    refused: dict[str, int]
    lacking: list[str]
    behind: list[str]


def make_report(
    records: record_sets.Records, watcher: watchers.Watcher, ready: bool
) -> ControlReport:
    """Returns how this host stands."""
    return ControlReport(
        ready=ready,
        platform=watcher.state.value,
        store_revision=watcher.revision,
        contracts=records.contracts.revisions(),
        deleted=sorted(
            r.service for r in records.contracts.records() if not r.body
        ),
        drained=[str(host) for host in records.drains.drained()],
        evacuated=sorted(records.drains.evacuated()),
        key_revision=records.keys.record.revision,
        key_age_s=records.keys.age_s(),
        key_states={
            str(key.key_id): key.state.value for key in records.keys.ring.keys
        },
        refused={n: int(r) for n, r in records.refused().items()},
        lacking=watcher.history.lacking(),
        behind=watcher.history.behind(),
    )
