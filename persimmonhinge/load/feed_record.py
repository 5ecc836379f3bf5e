"""What a caller saw of one feed."""

from __future__ import annotations

import enum
import math

from persimmonhinge import ids


class FeedFault(enum.Enum):
    """What breaks a flow.

    GAP: A tick was left out.
    REPEAT: A tick came twice.
    STEP_BACK: A tick came after a later one.
    STALL: No tick came for too long.
    ENDED: The service ended the feed.
    """

    GAP = "gap"
    REPEAT = "repeat"
    STEP_BACK = "step-back"
    STALL = "stall"
    ENDED = "ended"


class FeedRecord:
    """Checks the ticks of one feed as they come.

    Attributes:
        service: The service.
        name: Name of the feed in the report.
        faults: What went wrong, in order.
        ticks: Ticks that came.
        longest_silence_s: Longest time between two ticks, seconds.
        renewals: How often the caller registered again.
    """

    def __init__(
        self, service: ids.ServiceName, name: str, stall_s: float
    ) -> None:
        self.service = service
        self.name = name
        self.faults: list[FeedFault] = []
        self.ticks = 0
        self.longest_silence_s = 0.0
        self.renewals = 0
        self._stall_s = stall_s
        self._tick: int | None = None
        self._seen_at_s = math.nan

    @property
    def opened(self) -> bool:
        """True once a tick came."""
        return self.ticks > 0

    @property
    def broken(self) -> bool:
        """True if the caller saw a fault after the feed was opened."""
        return self.opened and bool(self.faults)

    def take(self, tick: int, now_s: float, *, renewed: bool) -> None:
        """Takes in a tick.

        Args:
            tick: Its number.
            now_s: Monotonic time, seconds.
            renewed: True if it answers a repeated registration, which may
                show the last tick again.
        """
        self._check_silence(now_s)
        fault = self._find_fault(tick, renewed=renewed)
        if fault is not None:
            self.faults.append(fault)
        self.ticks += 1
        self._tick = tick
        self._seen_at_s = now_s

    def end(self, now_s: float, *, cut_off: bool) -> None:
        """Closes the record.

        Args:
            now_s: Monotonic time, seconds.
            cut_off: True if the service ended the feed.
        """
        self._check_silence(now_s)
        if cut_off:
            self.faults.append(FeedFault.ENDED)

    def _check_silence(self, now_s: float) -> None:
        if self._tick is None:
            return
        silence_s = now_s - self._seen_at_s
        self.longest_silence_s = max(self.longest_silence_s, silence_s)
        if silence_s > self._stall_s:
            self.faults.append(FeedFault.STALL)

    def _find_fault(self, tick: int, *, renewed: bool) -> FeedFault | None:
        if self._tick is None or tick == self._tick + 1:
            return None
        if tick > self._tick:
            return FeedFault.GAP
        if tick < self._tick:
            return FeedFault.STEP_BACK
        return None if renewed else FeedFault.REPEAT
