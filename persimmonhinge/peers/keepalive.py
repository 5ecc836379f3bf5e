"""When a link counts as silent or as idle."""

from __future__ import annotations

from collections.abc import Callable
import math

from persimmonhinge.settings import entry as settings_entry

# A round of the check lasts this many heartbeats, at least.
_HEARTBEATS_IN_ROUND = 3
# A link is silent after this many suspicion times without an octet.
_SUSPICIONS_UNTIL_SILENT = 2
# A healthy link is silent for one round, and for two if a pong comes late.
_LEAST_SILENT_ROUNDS = 3
# A link without a call is closed after this time, seconds.
_IDLE_LIMIT_S = 60.0
# A quiet link costs a ping in every second round: about 170 octets on the
# wire, with the pong, headers and ACK. With more links than this the rounds
# grow longer, so that pings cost a host no more than about 7.5 kB/s, however
# many peers it has.
LINKS_AT_FULL_PACE = 75
# Longest round that a peer may announce, seconds.
_MOST_ROUND_S = 60.0


class KeepAlive:
    """Counts rounds without a sign of life, and rounds without use.

    It counts rounds and reads no clock. A process that was stopped for a
    while would see by the clock that all links were silent all that time and
    would close them, though their octets wait in the kernel. Only one round
    passes for it, so it reads them first.

    Attributes:
        received: Set at each octet received.
        sent: Set at each octet sent.
        used: Set at each frame but pings.
    """

    def __init__(
        self,
        settings: settings_entry.PeerSettings,
        *,
        extra_rounds: int = 0,
        count_links: Callable[[], int] = lambda: 0,
    ) -> None:
        """Begins the first round.

        Args:
            settings: Settings of the peer streams.
            extra_rounds: Rounds for which the other side may lag behind.
            count_links: Returns how many links this host has dialed.
        """
        self.received = True
        self.sent = True
        self.used = True
        self._shortest_s = settings.heartbeat_interval_s * _HEARTBEATS_IN_ROUND
        self._round_s = self._shortest_s
        silence_s = settings.suspicion_s * _SUSPICIONS_UNTIL_SILENT
        rounds = math.ceil(silence_s / self._shortest_s)
        self._most_silent = max(rounds, _LEAST_SILENT_ROUNDS) + extra_rounds
        self._count_links = count_links
        self._silent_rounds = 0
        self._idle_s = 0.0

    @property
    def round_s(self) -> float:
        """Time of the present round, seconds."""
        return self._round_s

    @property
    def is_silent(self) -> bool:
        """True if the other side gave no sign of life for too long."""
        return self._silent_rounds >= self._most_silent

    @property
    def is_idle(self) -> bool:
        """True if the link was not used for a while."""
        return self._idle_s >= _IDLE_LIMIT_S

    def end_round(self) -> bool:
        """Counts a round.

        Returns:
            True if a ping is due: one of the two sides heard nothing in this
            round, or does not know how long the next one is.
        """
        self._silent_rounds = 0 if self.received else self._silent_rounds + 1
        self._idle_s = 0.0 if self.used else self._idle_s + self._round_s
        is_due = not (self.received and self.sent)
        self.received = False
        self.sent = False
        self.used = False
        return self._set_pace() or is_due

    def follow(self, round_s: float) -> None:
        """Takes over the length of rounds that the dialing side announced."""
        self._round_s = min(max(round_s, self._shortest_s), _MOST_ROUND_S)

    def _set_pace(self) -> bool:
        if not self._count_links():
            return False
        factor = math.ceil(self._count_links() / LINKS_AT_FULL_PACE)
        before = self._round_s
        self._round_s = min(self._shortest_s * factor, _MOST_ROUND_S)
        return self._round_s != before
