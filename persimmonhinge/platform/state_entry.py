"""The platform's entry of the desired state.

A route, service or limit that can't be read is refused alone, the others are
read.
"""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import json_reader
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import refused_part
from persimmonhinge.forwarding import route as routes
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import entry_fields

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from typing import Any
    from typing import TypeVar

    T = TypeVar("T")

DESIRED_STATE = "op/config"

# Kinds of requests that may run twice; all others run once at most.
_REPEATABLE = frozenset({"idempotent", "download"})
_IDLE_TIMEOUT_MS = 15_000


class _StateReader:
    """Reads one desired state, and collects the parts that it can't read."""

    def __init__(self) -> None:
        self.refused: list[refused_part.RefusedPart] = []

    def read(self, entry: dict[str, Any]) -> desired_states.DesiredState:
        """Reads the desired state.

        Raises:
            FieldError: Its version or list of routes can't be read.
        """
        read = json_reader.read_integer
        version = read(entry, "Version", 0, entry_fields.MAX_VERSION)
        found = self._read_routes(
            json_reader.read_field(entry, "Routes", list, [])
        )
        services = self._read_services(entry)
        return desired_states.DesiredState(
            version=version,
            routes=found,
            idle_timeout_s=self._read_idle_timeout_s(entry),
            # A rate or number of 0 sets no limit.
            warm_up_limits={n: rate for n, rate, _ in services if rate > 0},
            max_flows={n: flows for n, _, flows in services if flows > 0},
            services=_list_services(found.values(), services),
            refused=tuple(self.refused),
        )

    def _read_routes(
        self, listed: list[Any]
    ) -> dict[routes.RouteAddress, routes.Route]:
        found: dict[routes.RouteAddress, routes.Route] = {}
        for number, entry in enumerate(listed):
            try:
                route = _convert_route(json_reader.expect(entry, dict, ""))
            except json_reader.FieldError as error:
                self._refuse_route(number, entry, error)
            else:
                found[route.virtual_address] = route
        return found

    def _refuse_route(
        self, number: int, entry: object, error: json_reader.FieldError
    ) -> None:
        self._refuse(
            refused_part.Section.ROUTE,
            f"Routes[{number}]",
            error,
            _find(entry, _read_name),
            _find(entry, _read_route_address),
        )

    def _read_services(
        self, entry: dict[str, Any]
    ) -> list[tuple[ids.ServiceName, float, int]]:
        """Returns the names of services with their limits.

        The limits are the requests a second that a cold upstream bears, and
        the open flows that an upstream holds.
        """
        section = refused_part.Section.SERVICE
        try:
            listed = json_reader.read_field(entry, "Services", list, [])
        except json_reader.FieldError as error:
            self._refuse(section, "", error)
            return []
        found = []
        for number, service in enumerate(listed):
            try:
                found.append(
                    _convert_service(json_reader.expect(service, dict, ""))
                )
            except json_reader.FieldError as error:
                name = _find(service, _read_name)
                self._refuse(section, f"Services[{number}]", error, name)
        return found

    def _read_idle_timeout_s(self, entry: dict[str, Any]) -> float:
        prefix = ""
        try:
            limits = json_reader.read_field(entry, "Limits", dict, {})
            prefix = "Limits"
            idle_ms = json_reader.read_integer(
                limits,
                "IdleTimeoutMs",
                0,
                entry_fields.MAX_TIME_MS,
                _IDLE_TIMEOUT_MS,
            )
        except json_reader.FieldError as error:
            self._refuse(refused_part.Section.LIMITS, prefix, error)
            idle_ms = _IDLE_TIMEOUT_MS
        return idle_ms / 1000

    def _refuse(
        self,
        section: refused_part.Section,
        prefix: str,
        error: json_reader.FieldError,
        name: str | None = None,
        address: routes.RouteAddress | None = None,
    ) -> None:
        field = ".".join(filter(None, (prefix, error.field)))
        refused = errors.UnreadableEntryError(
            error.reason, step="read entry", peer=DESIRED_STATE, field=field
        )
        self.refused.append(
            refused_part.RefusedPart(section, refused, name, address)
        )


def convert_state(entry: dict[str, Any]) -> desired_states.DesiredState:
    """Reads the desired state.

    Raises:
        FieldError: Its version or list of routes can't be read.
    """
    return _StateReader().read(entry)


def _list_services(
    listed: Iterable[routes.Route],
    services: Iterable[tuple[ids.ServiceName, float, int]],
) -> frozenset[ids.ServiceName]:
    """Returns the services of routes and those listed with their limits."""
    names = {share.service for route in listed for share in route.shares}
    names.update(name for name, _, _ in services)
    return frozenset(filter(None, names))


def _find(entry: object, read: Callable[[dict[str, Any]], T]) -> T | None:
    """Returns what a refused part states, or None if that can't be read."""
    if not isinstance(entry, dict):
        return None
    try:
        return read(entry)
    except json_reader.FieldError:
        # The part is refused already, for this or another field.
        return None


def _read_name(entry: dict[str, Any]) -> str:
    return entry_fields.read_name(entry, "Name")


def _convert_service(
    entry: dict[str, Any],
) -> tuple[ids.ServiceName, float, int]:
    rate = json_reader.read_number(
        entry, "ColdPerS", 0, entry_fields.MAX_RATE, 0
    )
    max_flows = json_reader.read_integer(
        entry, "MaxConns", 0, entry_fields.MAX_COUNT, 0
    )
    has_limit = rate > 0 or max_flows > 0
    name = entry_fields.read_name(entry, "Name", None if has_limit else "")
    return ids.ServiceName(name), rate, max_flows


def _convert_route(entry: dict[str, Any]) -> routes.Route:
    read = json_reader.read_field
    repetition = routes.Repetition.AT_MOST_ONCE
    if read(entry, "Kind", str, "") in _REPEATABLE:
        repetition = routes.Repetition.IDEMPOTENT
    return routes.Route(
        name=_read_name(entry),
        virtual_address=_read_route_address(entry),
        shares=tuple(_convert_shares(entry)),
        priority=json_reader.read_integer(
            entry, "Priority", 0, entry_fields.MAX_COUNT, 0
        ),
        repetition=repetition,
        regions=frozenset(
            map(_check_region, read(entry, "AllowedRegions", list, []))
        ),
        target_latency_s=_read_time_s(entry, "AimMs"),
        timeout_s=_read_time_s(entry, "TimeoutMs"),
    )


def _read_route_address(entry: dict[str, Any]) -> routes.RouteAddress:
    """Returns the address and port of a route.

    `Host` is an address of the platform here, not the name of a host, and
    `Prefix` a port between slashes, not the start of a path.
    """
    parse = entry_fields.parse_field
    return routes.RouteAddress(
        parse(entry, "Host", address_text.parse_address),
        parse(entry, "Prefix", _parse_prefix),
    )


def _parse_prefix(text: str) -> int:
    return address_text.parse_port(text.strip("/"))


def _check_region(region: object) -> ids.RegionId:
    name = json_reader.expect(region, str, "AllowedRegions")
    return ids.RegionId(
        json_reader.check_name(
            name, "AllowedRegions", entry_fields.MAX_NAME_CHARACTERS
        )
    )


def _read_time_s(entry: dict[str, Any], field: str) -> float | None:
    """Returns a time in seconds; None if the field is absent or 0."""
    time_ms = json_reader.read_number(
        entry, field, 0, entry_fields.MAX_TIME_MS, 0
    )
    return time_ms / 1000 if time_ms > 0 else None


def _convert_shares(entry: dict[str, Any]) -> list[routes.Share]:
    """Returns the services of a route: one, or several with weights."""
    shares = []
    for backend in json_reader.read_field(entry, "Backends", list, []):
        named = json_reader.expect(backend, dict, "Backends")
        service = ids.ServiceName(entry_fields.read_name(named, "Service"))
        weight = json_reader.read_number(
            named, "Weight", 0, entry_fields.MAX_RATE
        )
        shares.append(routes.Share(service, weight))
    if not shares:
        service = ids.ServiceName(entry_fields.read_name(entry, "Service", ""))
        shares.append(routes.Share(service, 1.0))
    return shares
