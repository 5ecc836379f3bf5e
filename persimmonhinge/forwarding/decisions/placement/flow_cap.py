"""Limit on the number of open flows at an upstream."""

from __future__ import annotations

from persimmonhinge.forwarding import knowledge as knowledge_module
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.forwarding.decisions.placement import loads as loads_module


class FlowCap:
    """Decides whether an upstream has as many open flows as it accepts.

    An upstream at its limit leaves opening packets unanswered, so the callers
    would wait for their copies.
    """

    def __init__(
        self,
        knowledge: knowledge_module.Knowledge,
        loads: loads_module.LoadTable,
    ) -> None:
        self._knowledge = knowledge
        self._loads = loads

    def is_reached(self, upstream: upstream_module.Upstream) -> bool:
        """Returns whether an upstream must not receive more flows."""
        state = self._knowledge.state
        limit = state.max_flows.get(upstream.service) if state else None
        if limit is None:
            return False
        open_flows = self._loads.count_open_flows(
            upstream.id
        ) + self._loads.reported_open_flows(upstream.token)
        return open_flows >= limit
