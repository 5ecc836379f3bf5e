"""Upstreams that are suspected because they left openings unanswered."""

from __future__ import annotations

from persimmonhinge import early_logs
from persimmonhinge import ids

logger = early_logs.get_logger(__name__)

# Pauses for new flows after one, two, three, and four or more consecutive
# opening packets that an upstream left unanswered. The first is short, because
# a lost packet looks the same as a failed upstream. The last is below the time
# that the platform takes to remove the entry of a failed upstream.
_PAUSES_S = (0.25, 0.5, 1.0, 2.0)


# While an upstream's last answer to this host is not older than this, reports
# of other hosts do not make it suspected.
_MAX_OWN_ANSWER_AGE_S = 0.5
# Sum of the consecutive misses reported by other hosts from which an upstream
# is suspected.
_MIN_REPORTED_MISSES = 2


class Suspicions:
    """Counts consecutive misses, and suspects upstreams for a time.

    A miss is an opening packet that an upstream left unanswered. A suspected
    upstream receives no new flows while there are others.
    """

    def __init__(self) -> None:
        self._misses: dict[ids.UpstreamId, int] = {}
        self._paused_until: dict[ids.UpstreamId, float] = {}
        self._answered_at: dict[ids.UpstreamId, float] = {}
        self._reported_misses: dict[int, int] = {}

    def record_miss(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that an upstream left an opening packet unanswered."""
        misses = self._misses.get(upstream, 0) + 1
        pause_s = _PAUSES_S[min(misses, len(_PAUSES_S)) - 1]
        self._misses[upstream] = misses
        self._paused_until[upstream] = now + pause_s
        logger.info(
            "Upstream did not answer an opening packet.",
            extra={"upstream": upstream, "missed": misses, "pause_s": pause_s},
        )

    def record_answer(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that an upstream answered an opening packet."""
        self._answered_at[upstream] = now
        if self._misses.pop(upstream, 0):
            del self._paused_until[upstream]
            logger.info(
                "Upstream answered an opening packet again.",
                extra={"upstream": upstream},
            )

    def is_suspected(
        self, upstream: ids.UpstreamId, token: int, now: float
    ) -> bool:
        """Returns whether an upstream is suspected.

        Args:
            upstream: The upstream.
            token: Its routing token, which identifies it in reports of other
                hosts.
            now: The current time, seconds.
        """
        if now < self._paused_until.get(upstream, 0.0):
            return True
        if self._reported_misses.get(token, 0) < _MIN_REPORTED_MISSES:
            return False
        return (
            now - self._answered_at.get(upstream, 0.0) > _MAX_OWN_ANSWER_AGE_S
        )

    def count_suspected(self, now: float) -> int:
        """Returns how many upstreams this host's own misses make suspected."""
        return sum(now < until for until in self._paused_until.values())

    def count_misses(self, upstream: ids.UpstreamId) -> int:
        """Returns the number of consecutive misses of this host."""
        return self._misses.get(upstream, 0)

    def count_misses_to_report(
        self, upstream: ids.UpstreamId, now: float
    ) -> int:
        """Returns the number of consecutive misses to report to other hosts.

        It is 0 once the pause has ended. Otherwise hosts could keep a live
        upstream suspected through each other's reports: each has misses
        there, and none tries the upstream again because the others report
        theirs. The hosts would then use only one of several upstreams for
        seconds, until a pause ends.
        """
        if now >= self._paused_until.get(upstream, 0.0):
            return 0
        return self.count_misses(upstream)

    def add_reported_misses(self, token: int, misses: int) -> None:
        """Adds the misses that another host reports for an upstream.

        A negative number removes an earlier report.
        """
        total = self._reported_misses.get(token, 0) + misses
        if total:
            self._reported_misses[token] = total
        else:
            self._reported_misses.pop(token, None)

    def remove_upstream(self, upstream: ids.UpstreamId) -> None:
        """Removes this host's records of an upstream that was removed."""
        self._misses.pop(upstream, None)
        self._paused_until.pop(upstream, None)
        self._answered_at.pop(upstream, None)
