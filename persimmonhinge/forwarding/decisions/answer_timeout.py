"""How long an opening packet may stay unanswered."""

from __future__ import annotations

# The least, seconds: several times what a caller nearby takes to go on.
MIN_ANSWER_TIMEOUT_S = 0.03
# The most, seconds: the caller's own copy comes after 0.2 s.
_MAX_ANSWER_TIMEOUT_S = 0.15
# As TCP weighs round trips (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4


class AnswerTimeout:
    """Learns from flows that opened how long an answer takes.

    Guards against taking all upstreams for dead where callers are far away, or
    this host is busy: each flow would be opened at three upstreams, and none
    be trusted.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def add_answer_time(self, answer_time_s: float) -> None:
        """Takes in the time from an opening packet to the caller's next."""
        error = answer_time_s - self._mean_s
        self._mean_s += error * _MEAN_WEIGHT
        self._deviation_s += (
            abs(error) - self._deviation_s
        ) * _DEVIATION_WEIGHT

    @property
    def value_s(self) -> float:
        """The limit, seconds."""
        limit_s = self._mean_s + _DEVIATION_FACTOR * self._deviation_s
        return min(max(MIN_ANSWER_TIMEOUT_S, limit_s), _MAX_ANSWER_TIMEOUT_S)
