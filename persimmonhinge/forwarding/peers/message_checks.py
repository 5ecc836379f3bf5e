"""Checks the values of messages that other hosts sent.

The decoder has checked the types.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.peers import message_limits as limits
from persimmonhinge.forwarding.peers import messages

_STEP = "check message"
_REVISIONS = (0, limits.MAX_REVISION)
# Smallest and largest values of the fields with integers, by type of message.
# Sequence and incarnation are only compared, so they have no limits.
_RANGES: dict[type[msgspec.Struct], dict[str, tuple[int, int]]] = {
    messages.Report: {
        "interval_ms": (0, limits.MAX_INTERVAL_MS),
        "revision": _REVISIONS,
        "age_ms": (limits.NO_AGE_MS, limits.MAX_AGE_MS),
        "upstreams_revision": _REVISIONS,
    },
    messages.EntryUpdate: {
        "base_revision": _REVISIONS,
        "revision": _REVISIONS,
        "upstreams_revision": _REVISIONS,
    },
    messages.Snapshot: {
        "revision": _REVISIONS,
        "omitted_state_revision": _REVISIONS,
    },
    messages.PullRequest: {"after_revision": _REVISIONS},
}
_MAX_ENTRIES: dict[type[msgspec.Struct], int] = {
    messages.EntryUpdate: limits.MAX_UPDATE_ENTRIES,
    messages.Snapshot: limits.MAX_SNAPSHOT_ENTRIES,
}


def check_message(message: msgspec.Struct) -> None:
    """Checks all values of a message but the items that may be omitted.

    One entry out of range makes the whole message unusable: without it, the
    receiver would count as complete and never ask for the entry again.

    Raises:
        MalformedMessageError: A value is out of range.
    """
    for field, (smallest, largest) in _RANGES[type(message)].items():
        if not smallest <= getattr(message, field) <= largest:
            raise _make_error(field, f"is not from {smallest} to {largest}")
    if isinstance(message, messages.Report):
        _check_name("host", message.host)
        _check_name("domain", message.domain)
    elif isinstance(message, messages.EntryUpdate | messages.Snapshot):
        _check_entries(message.entries, _MAX_ENTRIES[type(message)])


def omit_unusable_items(
    report: messages.Report,
) -> tuple[messages.Report, errors.MalformedMessageError | None]:
    """Returns a report without loads, demands and peers that can't be used.

    The rest of the report stays in force. Without it, a host that measures one
    value wrongly would count as silent, and its failure domain might have no
    host that follows the store.

    Returns:
        The report, and why items were omitted; None if none were.
    """
    kept: dict[str, tuple[object, ...]] = {
        "loads": _filter_loads(report.loads),
        "demands": _filter_demands(report.demands),
        "peers": _filter_peers(report.peers),
    }
    for field, items in kept.items():
        total = len(getattr(report, field))
        if len(items) < total:
            error = _make_error(
                field, f"has {total - len(items)} unusable items of {total}"
            )
            return msgspec.structs.replace(report, **kept), error
    return report, None


def is_sendable(entry: store_entry.StoreEntry) -> bool:
    """Returns whether other hosts accept an entry of the store."""
    try:
        _check_entry(entry)
        entry.key.encode()
    except (errors.MalformedMessageError, UnicodeEncodeError):
        return False
    return True


def _check_name(field: str, name: str) -> None:
    if not 1 <= len(name) <= limits.MAX_NAME_CHARACTERS:
        raise _make_error(
            field, f"is not 1 to {limits.MAX_NAME_CHARACTERS} characters long"
        )


def _check_entries(
    entries: Sequence[store_entry.StoreEntry], max_entries: int
) -> None:
    if len(entries) > max_entries:
        raise _make_error("entries", f"has over {max_entries} items")
    for entry in entries:
        _check_entry(entry)


def _check_entry(entry: store_entry.StoreEntry) -> None:
    if not 0 <= entry.revision <= limits.MAX_REVISION:
        raise _make_error(
            "entries.revision", f"is not from 0 to {limits.MAX_REVISION}"
        )
    if len(entry.key) > limits.MAX_KEY_CHARACTERS:
        raise _make_error(
            "entries.key", f"is over {limits.MAX_KEY_CHARACTERS} characters"
        )


def _filter_loads(
    loads: Sequence[upstream_load.UpstreamLoad],
) -> tuple[upstream_load.UpstreamLoad, ...]:
    return tuple(
        load
        for load in loads[: limits.MAX_LOADS]
        if min(load) >= 0 and max(load) <= upstream_load.MAX_VALUE
    )


def _filter_demands(
    demands: Sequence[service_demand.ServiceDemand],
) -> tuple[service_demand.ServiceDemand, ...]:
    return tuple(
        demand
        for demand in demands[: limits.MAX_DEMANDS]
        if min(demand) >= 0 and max(demand) <= service_demand.MAX_VALUE
    )


def _filter_peers(
    peers: Sequence[flow.Endpoint],
) -> tuple[flow.Endpoint, ...]:
    return tuple(
        address
        for address in peers[: limits.MAX_PEERS]
        if address_text.is_destination(address)
    )


def _make_error(field: str, reason: str) -> errors.MalformedMessageError:
    return errors.MalformedMessageError(reason, step=_STEP, field=field)
