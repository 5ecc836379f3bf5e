"""Upstreams that left opening packets unanswered."""

from __future__ import annotations

import logging

from persimmonhinge import ids

logger = logging.getLogger(__name__)

# How long an upstream gets no new flow after one opening packet in a row that
# it left unanswered, after two, and so on, seconds. Short at first, since a
# lost packet looks the same as a dead upstream; the last is below the time
# that the platform takes to remove the entry of a dead one.
_PAUSES_S = (0.25, 0.5, 1.0, 2.0)


class Suspicions:
    """Counts unanswered opening packets in a row, and pauses upstreams."""

    def __init__(self) -> None:
        self._missed: dict[ids.UpstreamId, int] = {}
        self._until: dict[ids.UpstreamId, float] = {}

    def record_miss(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that an opening packet was not answered."""
        missed = self._missed.get(upstream, 0) + 1
        pause_s = _PAUSES_S[min(missed, len(_PAUSES_S)) - 1]
        self._missed[upstream] = missed
        self._until[upstream] = now + pause_s
        logger.info(
            "Upstream left an opening packet unanswered.",
            extra={"upstream": upstream, "missed": missed, "pause_s": pause_s},
        )

    def record_answer(self, upstream: ids.UpstreamId) -> None:
        """Records that an upstream answered."""
        if self._missed.pop(upstream, 0):
            del self._until[upstream]
            logger.info("Upstream answers again.", extra={"upstream": upstream})

    def holds(self, upstream: ids.UpstreamId, now: float) -> bool:
        """Tells whether an upstream is to get no new flow."""
        return now < self._until.get(upstream, 0.0)
