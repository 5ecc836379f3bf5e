"""Run times of requests at one upstream, per call class."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids

_AVERAGE_WEIGHT = 0.2
# Used until a request of the class has run. It is short, so that no request is
# refused because of an assumed run time.
_DEFAULT_ESTIMATE_S = 0.01
# The baseline adapts slowly, and the effect of a single run on it is limited.
# Otherwise the slow runs of a degraded upstream would soon become its normal
# run time, and the slowdown would no longer be detected.
_BASELINE_WEIGHT = 0.02
_MAX_BASELINE_RATIO = 2.0


@dataclasses.dataclass(slots=True)
class _Cost:
    average_s: float
    baseline_s: float


class Costs:
    """Moving averages of run times at one upstream, per call class."""

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, _Cost] = {}

    def estimate(self, call_class: ids.CallClassName) -> float:
        """Returns the expected run time of a request of a class, seconds."""
        cost = self._by_class.get(call_class)
        return _DEFAULT_ESTIMATE_S if cost is None else cost.average_s

    def record_run(self, call_class: ids.CallClassName, run_s: float) -> float:
        """Adds the run time of a request, seconds, to the averages.

        Returns:
            The run time divided by the baseline of the call class.
        """
        cost = self._by_class.get(call_class)
        if cost is None or cost.baseline_s <= 0:
            self._by_class[call_class] = _Cost(run_s, run_s)
            return 1.0
        slowdown = run_s / cost.baseline_s
        cost.average_s += _AVERAGE_WEIGHT * (run_s - cost.average_s)
        limited_s = min(run_s, _MAX_BASELINE_RATIO * cost.baseline_s)
        cost.baseline_s += _BASELINE_WEIGHT * (limited_s - cost.baseline_s)
        return slowdown
