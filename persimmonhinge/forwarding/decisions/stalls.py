"""Evidence that an upstream is gone though its entry is still there."""

from __future__ import annotations

import math

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding.decisions import suspicions as suspicion_lists

# Evidence that is needed: packets that callers sent again without any sign of
# life since, of so many flows. A lost packet is one; a live upstream that is
# slow answers some flow of a host meanwhile.
_LEAST_REPEATS = 4
_LEAST_FLOWS = 2
# Opening packets that it left unanswered, at all hosts together: a live
# upstream answers them at once however much it has to do.
_LEAST_MISSED = 1
# Least silence since the first of the repeated packets came, seconds: callers
# repeat after 0.2 s, and 0.4 s later.
_LEAST_SILENCE_S = 0.5
# Evidence is gathered anew after so long, seconds, so that packets that were
# lost one by one do not add up.
_GATHERED_S = 3.0
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
        flows: The flows that they are of.
        repeats: Their number.
        silent_since: When the first of these packets came for the first time.
        repeated_at: When the last repetition came.
    """

    flows: set[flows.FlowId]
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
        for the silence of their upstreams. So what it saw before its first
        turn proves nothing.
        """
        if now - self._turn_at > _STOOD_STILL_S:
            self._awake_since = now
            self._evidence.clear()
        self._turn_at = now

    def record_repeat(
        self,
        upstream: ids.UpstreamId,
        flow: flows.FlowId,
        sent_at: float,
        former_at: float,
        now: float,
    ) -> None:
        """Records that a caller sent a packet again.

        Args:
            upstream: The upstream of its flow.
            flow: The flow.
            sent_at: When the packet came for the first time.
            former_at: When the packet of the flow before this one came.
            now: The time.
        """
        if former_at < self._awake_since or self._stands_still(now):
            return
        sent_at = max(sent_at, self._awake_since)
        found = self._evidence.get(upstream)
        if found is None or _is_old(found, now):
            self._evidence[upstream] = _Evidence({flow}, 1, sent_at, now)
            return
        found.flows.add(flow)
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
        if _is_old(found, now):
            return False
        if len(found.flows) < _LEAST_FLOWS or found.repeats < _LEAST_REPEATS:
            return False
        if now - found.silent_since < _LEAST_SILENCE_S:
            return False
        return self._suspicions.count_missed(upstream, token) >= _LEAST_MISSED

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
            "flows": len(found.flows),
            "repeats": found.repeats,
            "silent_s": round(now - found.silent_since, 3),
        }


def _is_old(evidence: _Evidence, now: float) -> bool:
    if now - evidence.silent_since > _GATHERED_S:
        return True
    return now - evidence.repeated_at > _HOLDS_S
