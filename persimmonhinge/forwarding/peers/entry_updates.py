"""Splits changed entries into updates that fit into datagrams."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding.peers import messages

# Maximum number of entries in an update: the entry of an upstream takes about
# 250 octets of the datagram.
_MAX_ENTRIES_PER_UPDATE = 8


def omit_desired_state(
    update: messages.EntryUpdate, state_key: str
) -> messages.EntryUpdate:
    """Returns an update without the desired state, complete for upstreams only.

    A desired state that is too long to be sent would otherwise hold back the
    entry of an upstream in the same update, so that the upstream would keep
    getting new flows.
    """
    entries = tuple(entry for entry in update.entries if entry.key != state_key)
    return messages.EntryUpdate(
        update.base_revision,
        update.base_revision,
        update.is_absence_final,
        entries,
        upstreams_revision=max(update.revision, update.upstreams_revision),
    )


def split_into_updates(
    base_revision: int,
    is_absence_final: bool,
    entries: Sequence[store_entry.StoreEntry],
) -> list[messages.EntryUpdate]:
    """Returns consecutive updates; each is based on the revision before it.

    Args:
        base_revision: The revision that the sender was complete to before these
            changes.
        is_absence_final: See `messages.EntryUpdate`.
        entries: The entries in the order of their changes; none if the store
            reported that nothing has changed.
    """
    if not entries:
        return [
            messages.EntryUpdate(
                base_revision, base_revision, is_absence_final, ()
            )
        ]
    updates = []
    for first in range(0, len(entries), _MAX_ENTRIES_PER_UPDATE):
        chunk = entries[first : first + _MAX_ENTRIES_PER_UPDATE]
        revision = chunk[-1].revision
        remaining = entries[first + _MAX_ENTRIES_PER_UPDATE :]
        if remaining and remaining[0].revision == revision:
            # The entries of one change are split over two updates; the
            # change is complete only with the second update.
            revision -= 1
        revision = max(revision, base_revision)
        updates.append(
            messages.EntryUpdate(
                base_revision, revision, is_absence_final, tuple(chunk)
            )
        )
        base_revision = revision
    return updates
