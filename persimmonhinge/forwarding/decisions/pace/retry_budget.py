"""Budget for sending opening packets to a second or third upstream."""

from __future__ import annotations

# Retries that each opening packet of a caller adds to the budget.
_RETRIES_PER_OPENING = 0.2
# Maximum number of retries in the budget, and thus at once. A host has some
# tens of unanswered openings at once when a quarter of the upstreams of a
# service fail together.
_MAX_RETRIES = 50.0
# Retries that are left to the most urgent requests.
_URGENT_RETRIES = _MAX_RETRIES / 2


class RetryBudget:
    """Limits the share of opening packets that are retried.

    If all upstreams answer later than the timeout, unlimited retries would
    open each flow at three upstreams. That slows the upstreams down further,
    and continues after the original load has decreased.
    With admission by priority, callers that return after a rejection use the
    same budget, as they have the same effect.
    """

    def __init__(self) -> None:
        self._retries_left = _MAX_RETRIES

    def record_opening(self) -> None:
        """Refills the budget for an opening packet of a caller."""
        self._retries_left = min(
            _MAX_RETRIES, self._retries_left + _RETRIES_PER_OPENING
        )

    def spend_retry(self, is_urgent: bool = True) -> bool:
        """Spends one retry; returns False if the budget is used up.

        Args:
            is_urgent: Whether the request has the highest priority. Others may
                use the budget only while it is at least half full.
        """
        required = 1.0 if is_urgent else _URGENT_RETRIES
        if self._retries_left < required:
            return False
        self._retries_left -= 1
        return True
