"""The desired state that operators configured, as one version."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import route
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from persimmonhinge.forwarding import refused_part


class DesiredState(records.Record, frozen=True):
    """One version of the desired state.

    Attributes:
        version: Number of the version; it increases with each change.
        routes: Routes by the service and port that callers address.
        idle_timeout_s: Time after which an idle flow may be removed, seconds.
        warm_up_limits: Maximum rates of requests to an upstream that is
            warming up, by service, in requests per second. Services without a
            limit are absent.
        max_flows: Maximum numbers of open flows at one upstream, by service.
            Services without a limit are absent.
        services: The services that it names; empty if it names none.
        refused: Parts that can't be read, and are in none of the others.
    """

    version: int
    routes: dict[route.RouteAddress, route.Route]
    idle_timeout_s: float
    warm_up_limits: Mapping[ids.ServiceName, float] = MappingProxyType({})
    max_flows: Mapping[ids.ServiceName, int] = MappingProxyType({})
    services: frozenset[ids.ServiceName] = frozenset()
    refused: tuple[refused_part.RefusedPart, ...] = ()
