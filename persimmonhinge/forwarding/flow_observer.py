"""Interface of the parts that learn from the flows of callers."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.light_typing import Protocol


class FlowObserver(Protocol):
    """Learns which flows callers open, and which of them were answered."""

    def record_flow_opening(self, flow: flow_module.FlowId, now: float) -> None:
        """Records that a new flow is placed on an upstream.

        Args:
            flow: The flow.
            now: The current time, seconds.
        """

    def record_flow_answer(
        self, flow: flow_module.FlowId, upstream: ids.UpstreamId, now: float
    ) -> None:
        """Records that a request of a flow was answered.

        Args:
            flow: The flow.
            upstream: Upstream of the flow.
            now: The current time, seconds.
        """
