"""Settings of the overload control of a forwarding host."""

from __future__ import annotations

from persimmonhinge import records


class OverloadSettings(records.Record, frozen=True):
    """Which parts of the overload control run, and their limits.

    Attributes:
        placement: Name of the policy that chooses the upstream of a new flow
            of a route that takes part in overload control.
        admission: Whether new flows wait and are rejected when all upstreams
            are full: `open` admits all, `by-priority` limits them to the work
            that the upstreams can do.
        upstream_quality: Whether upstreams that are slow or fail requests
            receive fewer new flows.
        max_waiting_flows: Maximum number of new flows that wait at the host.
        max_wait_ms: Maximum time that a new flow waits, milliseconds. Callers
            give up an opening after 1,400 ms.
        low_priority_share: Part of the work that lower priorities may start
            while higher ones wait, 0 to 0.5.
    """

    placement: str = "near-first"
    admission: str = "open"
    upstream_quality: bool = False
    max_waiting_flows: int = 512
    max_wait_ms: float = 1200
    low_priority_share: float = 0.05

    @property
    def is_enabled(self) -> bool:
        """Whether any part runs, so that demand has to be measured."""
        return self != OverloadSettings(
            max_waiting_flows=self.max_waiting_flows,
            max_wait_ms=self.max_wait_ms,
            low_priority_share=self.low_priority_share,
        )
