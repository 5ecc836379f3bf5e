"""When unanswered openings may be judged while packets arrive."""

from __future__ import annotations

from collections.abc import Callable
import time

from persimmonhinge.forwarding.decisions.upstream_health import (
    openings as openings_module,
)

# Openings that are judged in one turn of the event loop. More than the
# datagrams that all tasks read in a turn, so that openings do not accumulate.
_MAX_JUDGED_PER_TURN = 256


class OverdueOpenings:
    """Gives unanswered openings once all answers to them have been read.

    Works in rounds. A round covers the openings that were overdue when it
    began. They are judged once the datagrams that the socket may have held at
    that time have been read: their answers may be among these, after a pause
    of the process above all. Datagrams that arrive later do not delay a round.
    """

    def __init__(
        self,
        openings: openings_module.Openings,
        max_unread: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates the rounds of a host.

        Args:
            openings: Openings that wait for their answers.
            max_unread: Maximum number of datagrams that the socket holds.
            clock: Returns the current time, seconds.
        """
        self._openings = openings
        self._max_unread = max_unread
        self._clock = clock
        self._began_at: float | None = None
        self._unread = 0

    @property
    def is_in_round(self) -> bool:
        """Whether the round needs another turn."""
        return self._began_at is not None

    def begin_turn(self) -> None:
        """Begins a round, unless one goes on."""
        if self._began_at is None:
            self._began_at = self._clock()
            self._unread = self._max_unread

    def record_read(self, count: int, is_emptied: bool) -> None:
        """Records that datagrams were read from the socket.

        Args:
            count: Number of datagrams.
            is_emptied: Whether the socket held no further one.
        """
        self._unread = 0 if is_emptied else self._unread - count

    def pop(self) -> list[openings_module.Opening]:
        """Removes and returns the openings to judge in this turn."""
        if self._began_at is None or self._unread > 0:
            return []
        overdue = self._openings.pop_due(self._began_at, _MAX_JUDGED_PER_TURN)
        if len(overdue) < _MAX_JUDGED_PER_TURN:
            self._began_at = None
        return overdue
