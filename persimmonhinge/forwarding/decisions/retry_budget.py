"""How many opening packets may be sent to a further upstream."""

from __future__ import annotations

# Further tries for each opening packet of a caller, in the long run.
_RETRIES_PER_OPENING = 0.2
# Tries that may come at once: a host sees some tens of unanswered openings when
# a quarter of the upstreams of a service die together.
_MAX_RETRIES = 50.0


class RetryBudget:
    """Lets a share of the opening packets be tried elsewhere.

    Guards against tries that keep upstreams busy: where all of them answer
    later than hosts wait, each flow is opened at three, which makes them
    later still, and it goes on when the load has gone back.
    """

    def __init__(self) -> None:
        self._retries_left = _MAX_RETRIES

    def record_opening(self) -> None:
        """Records an opening packet of a caller."""
        self._retries_left = min(
            _MAX_RETRIES, self._retries_left + _RETRIES_PER_OPENING
        )

    def spend_retry(self) -> bool:
        """Uses up a further try; tells whether there was one."""
        if self._retries_left < 1:
            return False
        self._retries_left -= 1
        return True
