"""Which items of the store's answers a client keeps."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.light_typing import Protocol

# More than the memory of any machine, or than a read can go through.
_NO_LIMIT = 1 << 62


class ItemPolicy(Protocol):
    """Decides which items are kept, and what an unreadable one means.

    Attributes:
        max_read_octets: Memory that the items of one read may take, octets.
        max_read_items: How many items one read may list, kept or not.
        max_read_pages: How many pages one read may take.
    """

    max_read_octets: int
    max_read_items: int
    max_read_pages: int

    def is_used(self, key: str) -> bool:
        """Returns whether items of a key are kept."""

    def get_max_octets(self, key: str) -> int:
        """Returns the length above which a value is refused, octets."""

    def refuse_item(
        self, key: str, error: errors.UnreadableAnswerError
    ) -> None:
        """Handles an item that can't be read.

        Args:
            key: Its key; empty if not even that can be read.
            error: Why it can't be read.

        Raises:
            UnreadableAnswerError: The whole answer is refused.
        """


class StrictPolicy:
    """Keeps all items, and refuses an answer with an unreadable one."""

    max_read_octets = _NO_LIMIT
    max_read_items = _NO_LIMIT
    max_read_pages = _NO_LIMIT

    def is_used(self, key: str) -> bool:
        """Returns true."""
        return True

    def get_max_octets(self, key: str) -> int:
        """Returns more than an answer holds."""
        return _NO_LIMIT

    def refuse_item(
        self, key: str, error: errors.UnreadableAnswerError
    ) -> None:
        """Raises the error."""
        raise error
