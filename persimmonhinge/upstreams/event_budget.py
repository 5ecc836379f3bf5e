"""Octets of events that all feeds of a keeper may hold."""

from __future__ import annotations

import logging

from persimmonhinge import line_budgets
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)

_MAX_OCTETS = 8 * 1024 * 1024


class EventBudget:
    """Bounds what is held for homes that have not confirmed it."""

    def __init__(
        self, counts: counts_module.Counts, max_octets: int = _MAX_OCTETS
    ) -> None:
        """Makes an empty budget.

        Args:
            counts: Counters of the host.
            most_octets: Octets of answers that may be held at a time.
        """
        self._counts = counts
        self._free_octets = max_octets
        self._log_budget = line_budgets.Budget()

    def reserve(self, octets: int) -> bool:
        """Takes octets out of the budget; False if there are not enough."""
        if octets > self._free_octets:
            return False
        self._free_octets -= octets
        return True

    def release(self, octets: int) -> None:
        """Puts octets back that are held no more."""
        self._free_octets += octets

    def record_drop(self, sequence: int) -> None:
        """Counts an event that would be lost with its home."""
        self._counts.add("feed_events_unconfirmed_dropped_total")
        if self._log_budget.take():
            logger.warning(
                "Event %d is held no more: its home has not confirmed it, and"
                " there is no room.",
                sequence,
            )
