"""Parts of a former desired state that replace unreadable ones."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

from persimmonhinge import ids
from persimmonhinge import records
from persimmonhinge.forwarding import desired_state
from persimmonhinge.forwarding import refused_part
from persimmonhinge.forwarding import route as route_module
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import TypeVar

    V = TypeVar("V")


def retain_former_parts(
    state: desired_state.DesiredState, former: desired_state.DesiredState
) -> desired_state.DesiredState:
    """Returns a desired state with the former forms of its unreadable parts.

    Guards against open flows that are reset, and new ones that are refused,
    because one route can't be read. A route or service is found by its name,
    or else by its address. While a part has neither, all routes or limits that
    the new state doesn't mention remain, as any of them may be meant.

    Args:
        state: The desired state.
        former: The desired state in force.
    """
    refused: dict[refused_part.Section, list[refused_part.RefusedPart]] = {}
    for part in state.refused:
        refused.setdefault(part.section, []).append(part)
    routes = refused.get(refused_part.Section.ROUTE, ())
    services = refused.get(refused_part.Section.SERVICE, ())
    is_idle_unknown = refused_part.Section.LIMITS in refused
    return records.replace(
        state,
        routes={**_find_routes(routes, former.routes), **state.routes},
        warm_up_limits={
            **_find_limits(services, former.warm_up_limits),
            **state.warm_up_limits,
        },
        max_flows={
            **_find_limits(services, former.max_flows),
            **state.max_flows,
        },
        idle_timeout_s=(
            former.idle_timeout_s if is_idle_unknown else state.idle_timeout_s
        ),
        services=state.services | former.services,
    )


def _find_routes(
    refused: Iterable[refused_part.RefusedPart],
    former: dict[route_module.RouteAddress, route_module.Route],
) -> dict[route_module.RouteAddress, route_module.Route]:
    """Returns the former forms of routes."""
    by_name: dict[str, list[route_module.Route]] = {}
    for route in former.values():
        by_name.setdefault(route.name, []).append(route)
    found = {}
    for part in refused:
        if part.name is None and part.address is None:
            return former
        named = by_name.get(part.name, ()) if part.name is not None else ()
        for route in named:
            found[route.virtual_address] = route
        if not named and part.address in former:
            found[part.address] = former[part.address]
    return found


def _find_limits(
    refused: Iterable[refused_part.RefusedPart],
    former: Mapping[ids.ServiceName, V],
) -> Mapping[ids.ServiceName, V]:
    """Returns the former limits of services."""
    names = {part.name for part in refused}
    if None in names:
        return former
    return {name: limit for name, limit in former.items() if name in names}
