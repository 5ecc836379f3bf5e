"""Rate of the reports that a host sends to other hosts."""

from __future__ import annotations

from persimmonhinge import records


class ReportPace(records.Record, frozen=True):
    """Computes an interval that keeps reports within a budget.

    Attributes:
        min_interval_s: Minimum time between two reports, seconds.
        octets_per_s: Budget for reports to all hosts, octets per second.
    """

    min_interval_s: float
    octets_per_s: float

    def compute_interval(self, octets: int, host_count: int) -> float:
        """Returns the time until the next report, seconds.

        Args:
            octets: Length of a report, octets.
            host_count: Number of hosts that receive the report.
        """
        return max(
            self.min_interval_s,
            self.compute_budget_interval(octets, host_count),
        )

    def compute_budget_interval(self, octets: int, host_count: int) -> float:
        """Returns the time in which the budget covers one report, seconds.

        Args:
            octets: Length of the report, octets.
            host_count: Number of hosts that receive the report.
        """
        return host_count * octets / self.octets_per_s
