"""Divides news into datagrams."""

from __future__ import annotations

from collections.abc import Sequence

from persimmonhinge.forwarding import entry_line
from persimmonhinge.forwarding.peers import messages

# Entries in a datagram: an upstream takes about 250 octets.
_MAX_ENTRIES_PER_UPDATE = 8


def omit_desired_state(
    update: messages.EntryUpdate, state_key: str
) -> messages.EntryUpdate:
    """Returns news without the desired state, complete for upstreams alone.

    Guards against an upstream that goes on getting new flows since its entry
    stands in one datagram with a desired state that is too long to be sent.
    """
    entries = tuple(line for line in update.entries if line.key != state_key)
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
    entries: Sequence[entry_line.EntryLine],
) -> list[messages.EntryUpdate]:
    """Returns news in which each names the one before by its revision.

    Args:
        after: Revision to which the sender was complete before.
        settled: See `messages.News`.
        entries: The entries in the order of their changes; none if the store
            said that there are none.
    """
    if not entries:
        return [
            messages.EntryUpdate(
                base_revision, base_revision, is_absence_final, ()
            )
        ]
    found = []
    for first in range(0, len(entries), _MAX_ENTRIES_PER_UPDATE):
        chunk = entries[first : first + _MAX_ENTRIES_PER_UPDATE]
        upto = chunk[-1].revision
        rest = entries[first + _MAX_ENTRIES_PER_UPDATE :]
        if rest and rest[0].revision == upto:
            # Entries of one change stand in two datagrams: only the second
            # completes it.
            upto -= 1
        upto = max(upto, base_revision)
        found.append(
            messages.EntryUpdate(
                base_revision, upto, is_absence_final, tuple(chunk)
            )
        )
        base_revision = upto
    return found
