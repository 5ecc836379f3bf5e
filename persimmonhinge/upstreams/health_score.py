"""Health score of an upstream, computed from the results of its requests."""

from __future__ import annotations

import enum

_MIN_SCORE = 0.02
# After a single failure, the score is 1 again within a minute without any
# request. If failures continue, the score falls faster than it recovers.
_RECOVERY_PER_S = 1.0 / 60
_RECOVERY_PER_SUCCESS = 0.05
_SLOW_RUN_RATIO = 10.0
# In shorter runs, a run time far above the baseline is noise.
_MIN_SLOW_RUN_S = 0.1
_AVERAGE_WEIGHT = 0.2


class HealthSignal(enum.Enum):
    """How an upstream handled a request.

    ANSWERED: It answered.
    FAILED: It answered with a server error.
    SHED: It refused the request because of overload.
    STALLED: It sent no answer, or the request did not reach it.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    SHED = "shed"
    STALLED = "stalled"


# After a few consecutive failures the upstream gets only a few requests.
_FAILURE_FACTORS = {
    HealthSignal.FAILED: 0.7,
    HealthSignal.SHED: 0.85,
    HealthSignal.STALLED: 0.5,
}


class HealthScore:
    """A number above 0 and up to 1, which is reported as `UpstreamLoad.trust`.

    A failure multiplies the score by a factor below 1. A success adds a fixed
    step, and the score also rises with time. Health and load that the
    upstream itself reports are not used, because they lag and mislead. The
    score never reaches 0, so that the upstream still gets a few requests,
    which show when it has recovered.

    Attributes:
        service_time_s: Moving average of the run times of answered requests,
            seconds; 0 before the first answer.
    """

    def __init__(self, now: float) -> None:
        self.service_time_s = 0.0
        self._score = 1.0
        self._changed_at = now

    def read(self, now: float) -> float:
        """Returns the score at the given time."""
        recovered = self._score + (now - self._changed_at) * _RECOVERY_PER_S
        return min(1.0, recovered)

    def record_signal(
        self,
        signal: HealthSignal,
        now: float,
        run_s: float = 0.0,
        slowdown: float = 1.0,
    ) -> None:
        """Updates the score with the result of a request.

        Args:
            signal: How the upstream handled the request.
            now: Current time.
            run_s: Run time of the request, seconds; used for ANSWERED.
            slowdown: Run time divided by the baseline of the call class.
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
