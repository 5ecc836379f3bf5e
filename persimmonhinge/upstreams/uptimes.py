"""How long each home has been up at least, without comparing clocks."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from persimmonhinge import ids

# Longest life of a ticket that the settings allow: a home that has minted a
# ticket has been up at least for its expiry less this.
MAX_TICKET_LIFETIME_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    uptime_ms: int
    received_at: float


class Uptimes:
    """Lower bounds of the uptimes of homes.

    Each message of a home tells its uptime when it was sent. That and the
    time since it came is a bound from below, however long it travelled, and
    the highest of all bounds counts. So a bound never falls, and a ticket
    is taken for expired here only once it has expired at its home.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._samples: dict[ids.HostRef, _Sample] = {}

    def record_uptime(self, home: ids.HostRef, uptime_ms: int) -> None:
        """Takes in an uptime that a home told, milliseconds."""
        if uptime_ms > self.get_lower_bound_ms(home):
            self._samples[home] = _Sample(uptime_ms, self._clock())

    def record_ticket_expiry(self, home: ids.HostRef, expiry_ms: int) -> None:
        """Takes in that a home has minted a ticket with an expiry."""
        self.record_uptime(home, expiry_ms - MAX_TICKET_LIFETIME_MS)

    def get_lower_bound_ms(self, home: ids.HostRef) -> int:
        """Returns the bound of a home, milliseconds; -1 if there is none."""
        sample = self._samples.get(home)
        if sample is None:
            return -1
        elapsed_ms = (self._clock() - sample.received_at) * 1000
        return sample.uptime_ms + int(elapsed_ms)

    def get_all_lower_bounds_ms(self) -> dict[ids.HostRef, int]:
        """Returns the bounds of all homes, milliseconds."""
        return {home: self.get_lower_bound_ms(home) for home in self._samples}
