"""Flows that were rejected a short time ago, and their callers."""

from __future__ import annotations

import collections
import math

from persimmonhinge.forwarding import flow as flow_module
from persimmonhinge.light_typing import NamedTuple

# Callers return at once, and end their last attempt within this time, seconds.
_RETENTION_S = 2.0
# Attempts of a caller at one request. After the last one it does not return.
_MAX_ATTEMPTS = 3
# Maximum numbers of flows and callers, and of expected returns of one caller,
# that are remembered, so that memory is bounded. A host of a deployment of the
# design size gets 250 new flows a second at five times its usual traffic.
_MAX_REJECTIONS = 8192
_MAX_RETURNS = 16


class _Caller(NamedTuple):
    """Address of a caller, and the route that it asked for.

    Urgent requests of a machine must not count as returning because another
    route rejected a request of the same machine.
    """

    caller: int
    service: int
    service_port: int


class _Return(NamedTuple):
    """An attempt that is expected after a rejection.

    Attributes:
        attempt: Number of the attempt, 2 or more.
        rejected_at: Time of the rejection, seconds.
    """

    attempt: int
    rejected_at: float


class RecentRejections:
    """Remembers rejections for as long as their callers may return.

    Each rejection explains one later flow of the same address. If all flows of
    an address counted as returning, most first attempts would, too, where few
    addresses send many flows. Callers return from another port and often to
    another host, but hosts get as many returning flows as they reject, as the
    fabric spreads flows evenly.
    """

    def __init__(self) -> None:
        self._flows: collections.OrderedDict[flow_module.FlowId, float] = (
            collections.OrderedDict()
        )
        self._returns: collections.OrderedDict[
            _Caller, collections.deque[_Return]
        ] = collections.OrderedDict()

    def record(
        self, flow: flow_module.FlowId, attempt: int, now: float
    ) -> None:
        """Records that a flow is rejected.

        Args:
            flow: The flow.
            attempt: Number of the attempt, as `take_attempt` returned it.
            now: The current time, seconds.
        """
        self._flows[flow] = now
        self._flows.move_to_end(flow)
        if len(self._flows) > _MAX_REJECTIONS:
            self._flows.popitem(last=False)
        if attempt < _MAX_ATTEMPTS:
            self._expect_return(flow, _Return(attempt + 1, now))

    def includes(self, flow: flow_module.FlowId, now: float) -> bool:
        """Returns whether a flow itself was rejected."""
        return now - self._flows.get(flow, -math.inf) < _RETENTION_S

    def take_attempt(self, flow: flow_module.FlowId, now: float) -> int:
        """Returns the number of the attempt that a new flow is, from 1.

        The rejection that explains it explains no other flow after that.
        """
        returns = self._returns.get(_identify_caller(flow))
        if not returns:
            return 1
        newest = returns.pop()
        if now - newest.rejected_at >= _RETENTION_S:
            returns.clear()
            return 1
        return newest.attempt

    def _expect_return(
        self, flow: flow_module.FlowId, expected: _Return
    ) -> None:
        caller = _identify_caller(flow)
        returns = self._returns.get(caller)
        if returns is None:
            returns = collections.deque(maxlen=_MAX_RETURNS)
            self._returns[caller] = returns
        returns.append(expected)
        self._returns.move_to_end(caller)
        if len(self._returns) > _MAX_REJECTIONS:
            self._returns.popitem(last=False)


def _identify_caller(flow: flow_module.FlowId) -> _Caller:
    return _Caller(flow.caller, flow.service, flow.service_port)
