"""How long requests hold a slot, by call class."""

from __future__ import annotations

import dataclasses

from persimmonhinge import ids

_WEIGHT = 0.2
# Before the first measurement; short, so that nothing is refused on a guess.
_UNKNOWN_S = 0.01
# The usual time has a long memory, and one run moves it by a little only, so
# that an upstream that has become slow does not soon pass for one that
# always was.
_USUAL_WEIGHT = 0.02
_MOST_PULL = 2.0


@dataclasses.dataclass(slots=True)
class _Cost:
    average_s: float
    usual_s: float


class Costs:
    """Moving averages of run times at one upstream."""

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, _Cost] = {}

    def estimate(self, call_class: ids.CallClassName) -> float:
        """Returns how long a request of a class will run, seconds."""
        cost = self._by_class.get(call_class)
        return _UNKNOWN_S if cost is None else cost.average_s

    def note(self, call_class: ids.CallClassName, run_s: float) -> float:
        """Takes in how long a request ran, seconds.

        Returns:
            How many times longer that is than is usual for its class.
        """
        cost = self._by_class.get(call_class)
        if cost is None or cost.usual_s <= 0:
            self._by_class[call_class] = _Cost(run_s, run_s)
            return 1.0
        slowdown = run_s / cost.usual_s
        cost.average_s += _WEIGHT * (run_s - cost.average_s)
        pulled_s = min(run_s, _MOST_PULL * cost.usual_s)
        cost.usual_s += _USUAL_WEIGHT * (pulled_s - cost.usual_s)
        return slowdown
