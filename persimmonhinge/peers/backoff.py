"""The wait between attempts to dial a host."""

from __future__ import annotations

import math
import random

import trio

from persimmonhinge import errors
from persimmonhinge.membership import member as members
from persimmonhinge.settings import entry as settings_entry

# The wait between attempts doubles up to this multiple of the first.
_MOST_BACKOFF = 10


class Backoff:
    """Says whether a host may be dialed, from how earlier attempts went."""

    def __init__(self, settings: settings_entry.PeerSettings) -> None:
        self._first_wait_s = settings.retry_interval_s
        self._failures = 0
        self._retry_time = -math.inf
        self._tried: members.Member | None = None

    @property
    def has_failed(self) -> bool:
        """True if the last attempt failed."""
        return self._failures > 0

    def begin(self, member: members.Member) -> None:
        """Begins an attempt.

        Raises:
            PeerUnreachableError: The wait after a failure still runs.
        """
        if self._tried is not None and _is_other_process(member, self._tried):
            # The wait was for a process that is gone.
            self.reset()
        if trio.current_time() < self._retry_time:
            raise errors.PeerUnreachableError(
                "the last attempt failed", step="dial", peer=member.host
            )
        self._tried = member

    def note_failure(self) -> None:
        """Begins the wait after a failed attempt."""
        factor = min(2**self._failures, _MOST_BACKOFF)
        # Jitter: hosts that lost a peer together don't dial it together.
        wait_s = self._first_wait_s * factor * random.uniform(0.75, 1.0)
        self._retry_time = trio.current_time() + wait_s
        self._failures += 1

    def reset(self) -> None:
        """Forgets earlier failures."""
        self._failures = 0
        self._retry_time = -math.inf


def _is_other_process(one: members.Member, other: members.Member) -> bool:
    return (
        one.incarnation != other.incarnation
        or one.address != other.address
        or one.peer_port != other.peer_port
    )
