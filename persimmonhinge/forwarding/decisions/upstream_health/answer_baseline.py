"""Usual answers of a service, as one host observes them."""

from __future__ import annotations

import collections
import math

# Number of the newest answers, and of the newest outcomes, that are the
# baseline. After half of them it follows a change that affects all upstreams
# alike.
_ANSWER_COUNT = 32
# Answers up to this multiple of the median are not slow: work varies between
# requests.
_USUAL_MULTIPLE = 2.0
# Upper limit of the multiple. An answer whose acknowledgement was lost seems to
# take until the next request.
_MAX_MULTIPLE = 6.0
# Upper limit of the slowness of an answer.
MAX_SLOWNESS = math.log2(_MAX_MULTIPLE / _USUAL_MULTIPLE)


class AnswerBaseline:
    """Compares answers with the median of the service at this host.

    If the host itself, its link or its callers are slow, all answers are late,
    and callers repeat their requests. The comparison keeps such a host from
    reporting all upstreams as slow or troubled.
    """

    def __init__(self) -> None:
        self._newest: collections.deque[float] = collections.deque(
            maxlen=_ANSWER_COUNT
        )
        self._troubles: collections.deque[bool] = collections.deque(
            maxlen=_ANSWER_COUNT
        )

    def record_outcome(self, is_troubled: bool) -> None:
        """Records whether a request was troubled or answered."""
        self._troubles.append(is_troubled)

    @property
    def is_troubled(self) -> bool:
        """Whether more than half of the newest outcomes are troubles."""
        return sum(self._troubles) * 2 > len(self._troubles)

    def compare(self, ratio: float) -> float:
        """Returns the slowness of an answer, and adds the answer.

        Args:
            ratio: Time of the answer as a multiple of the expected time.

        Returns:
            Binary logarithm of the excess of the time over twice the median
            (0 for less, 1 for four times), 0 to `MAX_SLOWNESS`.
        """
        logarithm = math.log2(ratio)
        self._newest.append(logarithm)
        median = sorted(self._newest)[(len(self._newest) - 1) // 2]
        slowness = logarithm - median - math.log2(_USUAL_MULTIPLE)
        return min(max(0.0, slowness), MAX_SLOWNESS)


def compute_slowness(multiple: float) -> float:
    """Returns the slowness of answers that take a multiple of the median."""
    return max(0.0, math.log2(multiple / _USUAL_MULTIPLE))


def compute_multiple(slowness: float) -> float:
    """Returns the multiple of the median for a slowness; 1 for none."""
    return _USUAL_MULTIPLE * 2.0**slowness if slowness > 0.0 else 1.0
