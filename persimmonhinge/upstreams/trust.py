"""How far an upstream is trusted, from what its keeper sees first-hand."""

from __future__ import annotations

import enum

_LEAST = 0.02
# A trusted upstream that fails once is back within a minute unasked; one
# that goes on failing is pushed down faster than it rises.
_RISE_PER_S = 1.0 / 60
_RISE_PER_SUCCESS = 0.05
_SLOW_FACTOR = 10.0
# Below this a run that took many times longer than usual is mere noise.
_SLOW_S = 0.1
_AVERAGE_WEIGHT = 0.2


class Sign(enum.Enum):
    """What an upstream did with a request.

    ANSWERED: It answered.
    FAILED: It answered with a server error.
    SHED: It refused the request as too much.
    STALLED: It gave no answer, or the request did not reach it.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    STALLED = "stalled"


# A few bad signs in a row leave a trickle only.
_FACTORS = {Sign.FAILED: 0.7, Sign.SHED: 0.85, Sign.STALLED: 0.5}


class Trust:
    """A number from near 0 to 1 that falls by factors and rises by steps.

    The upstream's own word on its health and load plays no part: it lags
    and misleads. Trust never reaches 0, so that a little work still shows
    when the upstream has recovered.

    Attributes:
        service_s: Moving average of the run time of answered requests; 0
            before the first.
    """

    def __init__(self, now: float) -> None:
        self.service_s = 0.0
        self._value = 1.0
        self._changed_at = now

    def read(self, now: float) -> float:
        """Returns the trust at a time."""
        risen = self._value + (now - self._changed_at) * _RISE_PER_S
        return min(1.0, risen)

    def note(
        self, sign: Sign, now: float, run_s: float = 0.0, slowdown: float = 1.0
    ) -> None:
        """Takes in what became of a request.

        Args:
            sign: What the upstream did.
            now: The time.
            run_s: How long it took, for ANSWERED.
            slowdown: How many times longer that is than is usual.
        """
        value = self.read(now)
        if sign is not Sign.ANSWERED:
            value *= _FACTORS[sign]
        elif slowdown >= _SLOW_FACTOR and run_s >= _SLOW_S:
            value *= _FACTORS[Sign.FAILED]
        else:
            value += _RISE_PER_SUCCESS
        if sign is Sign.ANSWERED:
            self._average(run_s)
        self._value = min(1.0, max(_LEAST, value))
        self._changed_at = now

    def _average(self, run_s: float) -> None:
        if self.service_s <= 0:
            self.service_s = run_s
            return
        self.service_s += _AVERAGE_WEIGHT * (run_s - self.service_s)
