"""The newest state that the operators want, as one version."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import route as routes


class DesiredState(records.Record, frozen=True):
    """All routes of one version.

    Attributes:
        version: Number of the version; grows with each change.
        routes: The routes by what callers address.
        idle_timeout_s: Time after which an idle flow may be forgotten,
            seconds.
        cold_limits: Requests a second that an upstream bears while it is cold,
            by service; a service without a limit is left out.
    """

    version: int
    routes: dict[routes.RouteAddress, routes.Route]
    idle_timeout_s: float
    warm_up_limits: Mapping[ids.ServiceName, float] = MappingProxyType({})
