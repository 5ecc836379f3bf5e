"""Timeout for the answer to an opening packet, derived from past answers."""

from __future__ import annotations

# Several times what a nearby caller takes to send its next packet.
MIN_ANSWER_TIMEOUT_S = 0.03
# Below the 0.2 s after which the caller retransmits its opening packet.
_MAX_ANSWER_TIMEOUT_S = 0.15
# Weights and factor of the retransmission timer of TCP (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4


class AnswerTimeout:
    """Estimates from opened flows how long an answer takes.

    With a fixed timeout, a host that is busy or whose callers are far away
    would suspect all upstreams: it would open each flow at three upstreams
    and have no upstream left that it does not suspect.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add_answer_time(self, answer_time_s: float) -> None:
        """Adds the time from an opening packet to the caller's next packet.

        Args:
            answer_time_s: The time, seconds.
        """
        error = answer_time_s - self._mean_s
        self._mean_s += error * _MEAN_WEIGHT
        self._deviation_s += (
            abs(error) - self._deviation_s
        ) * _DEVIATION_WEIGHT

    @property
    def value_s(self) -> float:
        """The timeout, seconds."""
        timeout_s = self._mean_s + _DEVIATION_FACTOR * self._deviation_s
        return min(max(MIN_ANSWER_TIMEOUT_S, timeout_s), _MAX_ANSWER_TIMEOUT_S)
