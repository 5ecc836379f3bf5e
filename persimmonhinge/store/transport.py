"""What carries the octets of a connection to the store."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

from persimmonhinge.light_typing import Protocol
from persimmonhinge.light_typing import TypeVar

T = TypeVar("T")


class Transport(Protocol):
    """One connection at a time to one address.

    All but `close` raise OSError if the connection fails.
    """

    async def open(self) -> None:
        """Opens the connection unless it is open."""

    async def send_all(self, octets: bytes) -> None:
        """Sends octets."""

    async def receive_some(self) -> bytes:
        """Returns octets that came; none if the peer has closed."""

    async def run_within(
        self, limit_s: float, work: Callable[[], Awaitable[T]]
    ) -> T:
        """Runs work on this transport with a time limit.

        Octets that come extend the limit; see `transfer_limit`.

        Raises:
            TimeoutError: The limit has passed.
        """

    def close(self) -> None:
        """Closes the connection at once."""
