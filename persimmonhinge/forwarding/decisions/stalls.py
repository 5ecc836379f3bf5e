"""Evidence that an upstream is gone though its entry is still there."""

from __future__ import annotations

import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists

# Evidence that is needed, in packets that callers sent again without any sign
# of life since: one may have been lost, and a slow upstream makes some.
_LEAST_EVIDENCE = 6
_LEAST_REPEATS = 2
# How many of these an opening packet counts for that the upstream left
# unanswered, at any host: a live one answers at once, however slow it is. One
# at least must be among the evidence.
_OPENING_WEIGHT = 2
# Least silence since the first of the repeated packets came, seconds: a caller
# repeats after 0.2 s, so two flows have waited.
_LEAST_SILENCE_S = 0.3
# How long evidence holds after its last packet, seconds. Well below the 4 s for
# which a path that was cut may be restored and unproved: afterwards packets
# are forwarded again, and tell anew.
_HOLDS_S = 1.5
# A host whose event loop had no turn for so long stood still, seconds. Turns
# come at most 0.15 s apart; a host on a sixth of a core is 0.06 s late.
_STOOD_STILL_S = 0.3


class _Evidence(records.Record):
    """Packets that callers had to send again.

    Attributes:
        repeats: Their number.
        silent_since: When the first of these packets came for the first time.
        repeated_at: When the last repetition came.
    """

    repeats: int
    silent_since: float
    repeated_at: float


class Stalls:
    """Tells upstreams that went dark from those that are slow.

    Guards against flows that stay open at a dead upstream: its entry lapses
    only seconds later, and until then each request on such a flow waits
    until its caller gives up.
    """

    def __init__(self, suspicions: suspicion_lists.Suspicions) -> None:
        """Starts without evidence.

        Args:
            suspicions: Opening packets that were left unanswered.
        """
        self._suspicions = suspicions
        self._evidence: dict[ids.UpstreamId, _Evidence] = {}
        self._awake_since = -math.inf
        self._turn_at = -math.inf

    def note_turn(self, now: float) -> None:
        """Records that the event loop of this host has a turn.

        Guards against a host that stood still: it reads, seconds later, what
        callers sent before and sent again, and takes the time that it slept
        for the silence of their upstreams. Whole flows were reset 0.1 to 0.5 s
        after hosts had been paused. So what it saw before proves nothing.
        """
        if now - self._turn_at > _STOOD_STILL_S:
            self._awake_since = now
            self._evidence.clear()
        self._turn_at = now

    def record_repeat(
        self,
        upstream: ids.UpstreamId,
        sent_at: float,
        former_at: float,
        now: float,
    ) -> None:
        """Records that a caller sent a packet again.

        Args:
            upstream: The upstream of its flow.
            sent_at: When the packet came for the first time.
            former_at: When the packet of the flow before this one came.
            now: The time.
        """
        if former_at < self._awake_since or self._stands_still(now):
            return
        sent_at = max(sent_at, self._awake_since)
        found = self._evidence.get(upstream)
        if found is None or now - found.repeated_at > _HOLDS_S:
            self._evidence[upstream] = _Evidence(1, sent_at, now)
            return
        found.repeats += 1
        found.repeated_at = now

    def record_life(self, upstream: ids.UpstreamId) -> None:
        """Records that an upstream has just answered a caller."""
        self._evidence.pop(upstream, None)

    def is_dark(self, upstream: ids.UpstreamId, token: int, now: float) -> bool:
        """Tells whether an upstream surely answers nobody.

        Args:
            upstream: The upstream.
            token: Its routing token, by which other hosts name it.
            now: The time.
        """
        found = self._evidence.get(upstream)
        if found is None or self._stands_still(now):
            return False
        if found.repeats < _LEAST_REPEATS:
            return False
        if now - found.repeated_at > _HOLDS_S:
            return False
        if now - found.silent_since < _LEAST_SILENCE_S:
            return False
        missed = self._suspicions.count_missed(upstream, token)
        evidence = found.repeats + missed * _OPENING_WEIGHT
        return missed > 0 and evidence >= _LEAST_EVIDENCE

    def _stands_still(self, now: float) -> bool:
        """Tells whether packets are read before the first turn after a stop."""
        return now - self._turn_at > _STOOD_STILL_S

    def describe(
        self, upstream: ids.UpstreamId, token: int, now: float
    ) -> dict[str, object]:
        """Returns what decides, for the log."""
        missed = self._suspicions.count_missed(upstream, token)
        found = self._evidence.get(upstream)
        if found is None:
            return {"upstream": upstream, "missed": missed}
        return {
            "upstream": upstream,
            "missed": missed,
            "repeats": found.repeats,
            "silent_s": round(now - found.silent_since, 3),
        }
