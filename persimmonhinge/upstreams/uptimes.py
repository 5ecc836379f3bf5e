"""Lower bounds of the uptimes of homes, without comparing host clocks."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from persimmonhinge import ids

# Maximum ticket lifetime that the settings allow. The uptime of a home that
# minted a ticket is at least the ticket's expiry minus this lifetime.
MAX_TICKET_LIFETIME_MS = 3_600_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    uptime_ms: int
    received_at: float


class Uptimes:
    """Lower bounds of the uptimes of homes.

    Each message of a home contains the home's uptime when it was sent. This
    uptime plus the time since the message was received is a lower bound,
    however long the message was in transit. The highest of these bounds is
    used. A bound therefore never decreases, and a ticket counts as expired
    here only after it has expired at its home.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._samples: dict[ids.HostRef, _Sample] = {}

    def record_uptime(self, home: ids.HostRef, uptime_ms: int) -> None:
        """Records an uptime that a home reported, in milliseconds."""
        if uptime_ms > self.get_lower_bound_ms(home):
            self._samples[home] = _Sample(uptime_ms, self._clock())

    def record_ticket_expiry(self, home: ids.HostRef, expiry_ms: int) -> None:
        """Derives a lower bound from the expiry of a ticket.

        Args:
            home: The home that minted the ticket.
            expiry_ms: Uptime of the home at which the ticket expires,
                milliseconds.
        """
        self.record_uptime(home, expiry_ms - MAX_TICKET_LIFETIME_MS)

    def get_lower_bound_ms(self, home: ids.HostRef) -> int:
        """Returns the lower bound of a home's uptime in milliseconds.

        Returns:
            The lower bound; -1 if the home has reported no uptime.
        """
        sample = self._samples.get(home)
        if sample is None:
            return -1
        elapsed_ms = (self._clock() - sample.received_at) * 1000
        return sample.uptime_ms + int(elapsed_ms)

    def get_all_lower_bounds_ms(self) -> dict[ids.HostRef, int]:
        """Returns the lower bounds of all homes, in milliseconds."""
        return {home: self.get_lower_bound_ms(home) for home in self._samples}
