"""Whether what this host knows may be acted on after it stood still."""

from __future__ import annotations

from collections.abc import Callable
import logging

logger = logging.getLogger(__name__)

# How often the process shows that it runs, seconds.
TICK_INTERVAL_S = 0.2
# Longer than any task of ours keeps the others waiting, and shorter than the
# others take to believe a silent host dead and go on without it, seconds.
PAUSE_LIMIT_S = 1.0
# A host that nobody answers is cut off; it then serves by what it knows,
# seconds.
HOLD_LIMIT_S = 3.0


class Freshness:
    """Holds back work after a pause until a peer has told what is new.

    Guards against a packet of one service that reaches another: while a
    process is stopped, all others may learn that an upstream address moved,
    and the upstream's new owner may begin. When the process wakes it finds
    old packets in its sockets and still believes its old contract; it shows
    as misrouted packets in the first milliseconds. Whoever asks compares the
    clock with the last tick, so that the pause is noticed before the first
    packet is sent, whichever task runs first.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ticked_at: float | None = None
        self._woke_at: float | None = None

    def tick(self) -> None:
        """Notes that the process runs; to be called all the while."""
        self._check()
        self._ticked_at = self._clock()

    def is_current(self) -> bool:
        """Tells whether this host may act on what it knows."""
        self._check()
        if self._woke_at is None:
            return True
        if self._clock() >= self._woke_at + HOLD_LIMIT_S:
            logger.warning("Nobody told what is new after a pause.")
            self._woke_at = None
        return self._woke_at is None

    def confirm(self, asked_at: float) -> None:
        """Takes in that a host told all that is new.

        Args:
            asked_at: When it was asked, by the clock; an answer to an older
                question may have waited here through the pause.
        """
        self._check()
        if self._woke_at is not None and asked_at >= self._woke_at:
            self._woke_at = None

    def now(self) -> float:
        """Returns the time by the clock, seconds."""
        return self._clock()

    def _check(self) -> None:
        if self._ticked_at is None:
            return
        now = self._clock()
        if now - self._ticked_at > PAUSE_LIMIT_S:
            gap_s = now - self._ticked_at
            logger.warning("Stood still for %.1f s; asks what is new.", gap_s)
            # So that one pause counts once.
            self._ticked_at = now
            self._woke_at = now
