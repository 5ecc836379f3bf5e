"""How long requests hold a slot, by call class."""

from __future__ import annotations

from persimmonhinge import ids

_WEIGHT = 0.2
# Before the first measurement; short, so that nothing is refused on a guess.
_UNKNOWN_S = 0.01


class Costs:
    """Moving averages of run times at one upstream."""

    def __init__(self) -> None:
        self._by_class: dict[ids.CallClassName, float] = {}

    def estimate(self, call_class: ids.CallClassName) -> float:
        """Returns how long a request of a class will run, seconds."""
        return self._by_class.get(call_class, _UNKNOWN_S)

    def note(self, call_class: ids.CallClassName, run_s: float) -> None:
        """Takes in how long a request ran, seconds."""
        former_s = self._by_class.get(call_class)
        if former_s is None:
            self._by_class[call_class] = run_s
            return
        self._by_class[call_class] = former_s + _WEIGHT * (run_s - former_s)
