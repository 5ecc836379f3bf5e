"""Upstreams that left opening packets unanswered."""

from __future__ import annotations

from persimmonhinge import early_logs
from persimmonhinge import ids

logger = early_logs.get_logger(__name__)

# How long an upstream gets no new flow after one opening packet in a row that
# it left unanswered, after two, and so on, seconds. Short at first, since a
# lost packet looks the same as a dead upstream; the last is below the time
# that the platform takes to remove the entry of a dead one.
_PAUSES_S = (0.25, 0.5, 1.0, 2.0)


# An upstream that answered this host itself so lately is not held back by what
# other hosts say, seconds.
_MAX_OWN_ANSWER_AGE_S = 0.5
# Opening packets in a row that other hosts, all together, must have missed.
_MIN_REPORTED_MISSES = 2


class Suspicions:
    """Counts unanswered opening packets in a row, and pauses upstreams."""

    def __init__(self) -> None:
        self._misses: dict[ids.UpstreamId, int] = {}
        self._paused_until: dict[ids.UpstreamId, float] = {}
        self._answered_at: dict[ids.UpstreamId, float] = {}
        self._reported_misses: dict[int, int] = {}

    def record_miss(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that an opening packet was not answered."""
        missed = self._misses.get(upstream, 0) + 1
        pause_s = _PAUSES_S[min(missed, len(_PAUSES_S)) - 1]
        self._misses[upstream] = missed
        self._paused_until[upstream] = now + pause_s
        logger.info(
            "Upstream left an opening packet unanswered.",
            extra={"upstream": upstream, "missed": missed, "pause_s": pause_s},
        )

    def record_answer(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that an upstream answered."""
        self._answered_at[upstream] = now
        if self._misses.pop(upstream, 0):
            del self._paused_until[upstream]
            logger.info("Upstream answers again.", extra={"upstream": upstream})

    def is_suspected(
        self, upstream: ids.UpstreamId, token: int, now: float
    ) -> bool:
        """Tells whether an upstream is to get no new flow.

        Args:
            upstream: The upstream.
            token: Its routing token, by which other hosts name it.
            now: The time.
        """
        if now < self._paused_until.get(upstream, 0.0):
            return True
        if self._reported_misses.get(token, 0) < _MIN_REPORTED_MISSES:
            return False
        return (
            now - self._answered_at.get(upstream, 0.0) > _MAX_OWN_ANSWER_AGE_S
        )

    def count_suspected(self, now: float) -> int:
        """Returns the upstreams that this host itself holds back."""
        return sum(now < until for until in self._paused_until.values())

    def count_misses(self, upstream: ids.UpstreamId) -> int:
        """Returns the opening packets in a row that were not answered."""
        return self._misses.get(upstream, 0)

    def count_misses_to_report(
        self, upstream: ids.UpstreamId, now: float
    ) -> int:
        """Returns the same for other hosts; 0 once the pause has ended.

        Guards against hosts that hold a live upstream back on account of each
        other: each has missed openings there, and none tries it again, since
        the others say so. It shows as hosts that choose among one upstream of
        several for seconds, and ends as a pause ends.
        """
        if now >= self._paused_until.get(upstream, 0.0):
            return 0
        return self.count_misses(upstream)

    def add_reported_misses(self, token: int, missed: int) -> None:
        """Adds what another host missed, or takes it back if negative."""
        total = self._reported_misses.get(token, 0) + missed
        if total:
            self._reported_misses[token] = total
        else:
            self._reported_misses.pop(token, None)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Drops what is known of an upstream that is no more."""
        self._misses.pop(upstream, None)
        self._paused_until.pop(upstream, None)
        self._answered_at.pop(upstream, None)
