"""Which items of the store's answers a forwarding host keeps."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.forwarding import input_source
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import entries

if TYPE_CHECKING:
    from collections.abc import Callable

    from persimmonhinge.forwarding import refusals as refusals_module

# Longest value of an entry other than the desired state, octets. The entry of
# an upstream takes some hundred.
_MAX_ENTRY_OCTETS = 4_096
# The desired state may take as much as an answer holds.
_MAX_STATE_OCTETS = 4 * 1024 * 1024
# Memory for the items of one read, octets: some ten thousand upstreams, and a
# fraction of the smallest limit of a process.
_MAX_READ_OCTETS = 32 * 1024 * 1024
# Items and pages of one read, whether a host uses them or not: many times what
# the largest platform holds, with keys of other programs.
_MAX_READ_ITEMS = 200_000
_MAX_READ_PAGES = 2_000
_USED_PREFIXES = (entries.UPSTREAMS, entries.EVACUATIONS)


class HostItemPolicy:
    """Keeps what a host uses; an unreadable item is refused alone.

    Guards against a start that fails for as long as one item can't be read,
    against values of other programs that fill the memory of a host, and
    against a read of keys of other programs that never ends.
    """

    max_read_octets = _MAX_READ_OCTETS
    max_read_items = _MAX_READ_ITEMS
    max_read_pages = _MAX_READ_PAGES

    def __init__(
        self,
        refusals: refusals_module.Refusals,
        knows_entries: Callable[[], bool] = lambda: True,
    ) -> None:
        """Initializes the policy.

        Args:
            refusals: Counts and logs the items that are refused.
            knows_entries: Returns whether the host knows any entry, which it
                would take for deleted if its item is left out.
        """
        self._refusals = refusals
        self._knows_entries = knows_entries

    def is_used(self, key: str) -> bool:
        """See `item_policy.ItemPolicy`."""
        return key == entries.DESIRED_STATE or key.startswith(_USED_PREFIXES)

    def get_max_octets(self, key: str) -> int:
        """See `item_policy.ItemPolicy`."""
        if key == entries.DESIRED_STATE:
            return _MAX_STATE_OCTETS
        return _MAX_ENTRY_OCTETS

    def refuse_item(
        self, key: str, error: errors.UnreadableAnswerError
    ) -> None:
        """See `item_policy.ItemPolicy`.

        Guards against the deletion of an entry whose item has lost its key:
        such an item is left out only while there is nothing to be deleted.
        """
        if not key and self._knows_entries():
            raise error
        self._refusals.record_refusal(
            input_source.InputSource.STORE_ANSWER, key, error
        )
