"""When a link counts as silent or as idle."""

from __future__ import annotations

import math

from persimmonhinge.settings import entry as settings_entry

# A round of the check lasts this many heartbeats.
_HEARTBEATS_IN_ROUND = 3
# A link is silent after this many suspicion times without an octet.
_SUSPICIONS_UNTIL_SILENT = 2
# A link without a call is closed after this time, seconds.
_IDLE_LIMIT_S = 60.0


class KeepAlive:
    """Counts rounds without a sign of life, and rounds without use.

    It counts rounds and reads no clock. A process that was stopped for a
    while would see by the clock that all links were silent all that time and
    would close them, though their octets wait in the kernel. Only one round
    passes for it, so it reads them first.

    Attributes:
        round_s: Time of a round, seconds.
        received: Set at each octet received.
        sent: Set at each octet sent.
        used: Set at each frame but pings.
    """

    def __init__(
        self, settings: settings_entry.PeerSettings, extra_rounds: int = 0
    ) -> None:
        self.round_s = settings.heartbeat_interval_s * _HEARTBEATS_IN_ROUND
        silence_s = settings.suspicion_s * _SUSPICIONS_UNTIL_SILENT
        self._most_silent = math.ceil(silence_s / self.round_s) + extra_rounds
        self._most_idle = math.ceil(_IDLE_LIMIT_S / self.round_s)
        self._silent_rounds = 0
        self._idle_rounds = 0
        self.received = True
        self.sent = True
        self.used = True

    @property
    def is_silent(self) -> bool:
        """True if the other side gave no sign of life for too long."""
        return self._silent_rounds >= self._most_silent

    @property
    def is_idle(self) -> bool:
        """True if the link was not used for a while."""
        return self._idle_rounds >= self._most_idle

    def end_round(self) -> bool:
        """Counts a round.

        Returns:
            True if a ping is due: one of the two sides may otherwise not
            hear from the other in the next round.
        """
        self._silent_rounds = 0 if self.received else self._silent_rounds + 1
        self._idle_rounds = 0 if self.used else self._idle_rounds + 1
        is_due = not (self.received and self.sent)
        self.received = False
        self.sent = False
        self.used = False
        return is_due
