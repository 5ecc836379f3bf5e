"""How long requests hold a slot, by call class."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids

_AVERAGE_WEIGHT = 0.2
# Before the first measurement; short, so that nothing is refused on a guess.
_DEFAULT_ESTIMATE_S = 0.01
# The usual time has a long memory, and one run moves it by a little only, so
# that an upstream that has become slow does not soon pass for one that
# always was.
_BASELINE_WEIGHT = 0.02
_MAX_BASELINE_RATIO = 2.0


@dataclasses.dataclass(slots=True)
class _Cost:
    average_s: float
    baseline_s: float


class Costs:
    """Moving averages of run times at one upstream."""

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, _Cost] = {}

    def estimate(self, call_class: ids.CallClassName) -> float:
        """Returns how long a request of a class will run, seconds."""
        cost = self._by_class.get(call_class)
        return _DEFAULT_ESTIMATE_S if cost is None else cost.average_s

    def record_run(self, call_class: ids.CallClassName, run_s: float) -> float:
        """Takes in how long a request ran, seconds.

        Returns:
            How many times longer that is than is usual for its class.
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
