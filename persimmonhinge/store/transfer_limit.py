"""Until when a call to the store may go on."""

from __future__ import annotations

# Longest pause between octets of an answer that has begun, seconds: a link that
# loses a packet carries it again within 0.4 s.
_PAUSE_S = 1.0
# How much longer than its limit a call may take while its answer comes,
# seconds: a value of a megabyte takes 2.2 s over a link of 5 Mbit/s.
_TRANSFER_S = 4.0


class TransferLimit:
    """A time limit for the other side's silence, not for the whole call.

    Guards against a long answer over a thin link that is cut and asked for
    anew, again and again: a host that starts would take the store for lost
    and forward nothing, though octets come all the while.

    Attributes:
        deadline: When the call ends unless more octets come, seconds.
    """

    def __init__(self, limit_s: float, now: float) -> None:
        """Begins a call.

        Args:
            limit_s: How long the answer may be waited for, seconds.
            now: The time.
        """
        self.deadline = now + limit_s
        self._ends_at = now + limit_s + _TRANSFER_S
        self._pause_s = min(limit_s, _PAUSE_S)

    def record_octets(self, now: float) -> None:
        """Records that octets of the answer came."""
        renewed = max(self.deadline, now + self._pause_s)
        self.deadline = min(renewed, self._ends_at)
