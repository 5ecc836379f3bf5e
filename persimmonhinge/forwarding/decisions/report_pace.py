"""How often a host reports to others."""

from __future__ import annotations

from persimmonhinge import records


class ReportPace(records.Record, frozen=True):
    """Time between two reports, so that they stay within a budget.

    Attributes:
        least_s: Shortest time between two reports, seconds.
        octets_per_s: Octets a second that all reports together may take.
    """

    min_interval_s: float
    octets_per_s: float

    def compute_interval(self, octets: int, host_count: int) -> float:
        """Returns the time until the next report, seconds.

        Args:
            octets: Length of a report.
            hosts: Number of hosts that get it.
        """
        return max(
            self.min_interval_s,
            self.compute_budget_interval(octets, host_count),
        )

    def compute_budget_interval(self, octets: int, host_count: int) -> float:
        """Returns the time that a report takes of the budget, seconds.

        Args:
            octets: Length of a report.
            hosts: Number of hosts that get it.
        """
        return host_count * octets / self.octets_per_s
