"""How far an upstream is trusted, from what its keeper sees first-hand."""

from __future__ import annotations

import enum

_MIN_SCORE = 0.02
# A trusted upstream that fails once is back within a minute unasked; one
# that goes on failing is pushed down faster than it rises.
_RECOVERY_PER_S = 1.0 / 60
_RECOVERY_PER_SUCCESS = 0.05
_SLOW_RUN_RATIO = 10.0
# Below this a run that took many times longer than usual is mere noise.
_MIN_SLOW_RUN_S = 0.1
_AVERAGE_WEIGHT = 0.2


class HealthSignal(enum.Enum):
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
_FAILURE_FACTORS = {
    HealthSignal.FAILED: 0.7,
    HealthSignal.SHED: 0.85,
    HealthSignal.STALLED: 0.5,
}


class HealthScore:
    """A number from near 0 to 1 that falls by factors and rises by steps.

    The upstream's own word on its health and load plays no part: it lags
    and misleads. Trust never reaches 0, so that a little work still shows
    when the upstream has recovered.

    Attributes:
        service_s: Moving average of the run time of answered requests; 0
            before the first.
    """

    def __init__(self, now: float) -> None:
        self.service_time_s = 0.0
        self._score = 1.0
        self._changed_at = now

    def read(self, now: float) -> float:
        """Returns the trust at a time."""
        recovered = self._score + (now - self._changed_at) * _RECOVERY_PER_S
        return min(1.0, recovered)

    def record_signal(
        self,
        signal: HealthSignal,
        now: float,
        run_s: float = 0.0,
        slowdown: float = 1.0,
    ) -> None:
        """Takes in what became of a request.

        Args:
            sign: What the upstream did.
            now: The time.
            run_s: How long it took, for ANSWERED.
            slowdown: How many times longer that is than is usual.
        """
        value = self.read(now)
        if signal is not HealthSignal.ANSWERED:
            value *= _FAILURE_FACTORS[signal]
        elif slowdown >= _SLOW_RUN_RATIO and run_s >= _MIN_SLOW_RUN_S:
            value *= _FAILURE_FACTORS[HealthSignal.FAILED]
        else:
            value += _RECOVERY_PER_SUCCESS
        if signal is HealthSignal.ANSWERED:
            self._update_average(run_s)
        self._score = min(1.0, max(_MIN_SCORE, value))
        self._changed_at = now

    def _update_average(self, run_s: float) -> None:
        if self.service_time_s <= 0:
            self.service_time_s = run_s
            return
        self.service_time_s += _AVERAGE_WEIGHT * (run_s - self.service_time_s)
