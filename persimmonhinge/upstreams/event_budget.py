"""Limit of the octets of events that the feeds of a keeper store."""

from __future__ import annotations

import logging

from persimmonhinge import line_budgets
from persimmonhinge.metrics import counts as counts_module

logger = logging.getLogger(__name__)

_MAX_OCTETS = 8 * 1024 * 1024


class EventBudget:
    """Limits the octets of stored events of all feeds of a keeper."""

    def __init__(
        self, counts: counts_module.Counts, max_octets: int = _MAX_OCTETS
    ) -> None:
        """Makes a budget of which nothing is reserved.

        Args:
            counts: Counters of the host.
            max_octets: Octets of events that may be stored at a time.
        """
        self._counts = counts
        self._free_octets = max_octets
        self._log_budget = line_budgets.Budget()

    def reserve(self, octets: int) -> bool:
        """Reserves octets; returns False if too few are free."""
        if octets > self._free_octets:
            return False
        self._free_octets -= octets
        return True

    def release(self, octets: int) -> None:
        """Releases reserved octets."""
        self._free_octets += octets

    def record_drop(self, sequence: int) -> None:
        """Counts and logs an unconfirmed event that is no longer stored.

        The event would be lost if its home failed now.
        """
        self._counts.add("feed_events_unconfirmed_dropped_total")
        if self._log_budget.take():
            logger.warning(
                "Event %d of a feed discarded before its home confirmed it:"
                " the limit of stored events is reached.",
                sequence,
            )
