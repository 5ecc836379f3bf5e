"""Entries of the platform's store, read into the project's own types.

An entry may come from another writer: what lacks a field, or has one of
another type or with an unknown word, is unreadable as a whole.
"""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import json_reader
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import tokens
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import entry_fields

if TYPE_CHECKING:
    from typing import Any

DESIRED_STATE = "op/config"
UPSTREAMS = "servers/"
EVACUATIONS = "op/evacuate/"
HOSTS = "persimmonhinge/hosts/"

# Kinds of requests that may run twice; all others run once at most.
_REPEATABLE = frozenset({"idempotent", "download"})
_STATES = {
    "ready": upstreams.UpstreamState.READY,
    "draining": upstreams.UpstreamState.DRAINING,
}
_IDLE_TIMEOUT_MS = 15_000
_HEX_DIGITS = frozenset("0123456789abcdef")
_MAX_NUMBER = (1 << 64) - 1
# Between the name and the time of the start in the id of an incarnation.
_BORN_SEPARATOR = "@"
# Field of errors about the key of an entry.
_KEY_FIELD = "key"


def decode_desired_state(value: bytes) -> desired_states.DesiredState:
    """Reads the desired state.

    Raises:
        UnreadableEntryError: It is not one.
    """
    try:
        return _convert_state(json_reader.decode_object(value))
    except ValueError as error:
        raise _make_error(DESIRED_STATE, error) from error


def decode_upstream(key: str, value: bytes) -> upstreams.Upstream:
    """Reads the entry of an upstream.

    Raises:
        UnreadableEntryError: It is not one.
    """
    try:
        entry = json_reader.decode_object(value)
        return _convert_upstream(key.removeprefix(UPSTREAMS), entry)
    except ValueError as error:
        raise _make_error(key, error) from error


def decode_evacuated_domain(key: str) -> ids.DomainId:
    """Reads which failure domain an entry evacuates, from its key.

    The entry evacuates it for as long as it is there; its value says nothing.

    Raises:
        UnreadableEntryError: The key names none.
    """
    domain = key.removeprefix(EVACUATIONS)
    try:
        json_reader.check_name(
            domain, _KEY_FIELD, entry_fields.MAX_NAME_CHARACTERS
        )
    except json_reader.FieldError as error:
        raise _make_error(key, error) from error
    if not domain or "/" in domain:
        raise _make_error(key, ValueError("no failure domain is named"))
    return ids.DomainId(domain)


def _convert_state(entry: dict[str, Any]) -> desired_states.DesiredState:
    read = json_reader.read_field
    found = [
        _convert_route(json_reader.expect(route, dict, "route"))
        for route in read(entry, "Routes", list, [])
    ]
    limits = read(entry, "Limits", dict, {})
    idle_ms = json_reader.read_integer(
        limits, "IdleTimeoutMs", 0, entry_fields.MAX_TIME_MS, _IDLE_TIMEOUT_MS
    )
    return desired_states.DesiredState(
        version=json_reader.read_integer(
            entry, "Version", 0, entry_fields.MAX_VERSION
        ),
        routes={route.virtual_address: route for route in found},
        idle_timeout_s=idle_ms / 1000,
        warm_up_limits=_read_cold_limits(entry),
        max_flows=_read_max_flows(entry),
    )


def _read_cold_limits(entry: dict[str, Any]) -> dict[ids.ServiceName, float]:
    """Returns the requests a second that cold upstreams of services bear.

    A rate of 0 sets no limit.
    """
    read = json_reader.read_field
    limits = {}
    for listed in read(entry, "Services", list, []):
        service = json_reader.expect(listed, dict, "service")
        rate = json_reader.read_number(
            service, "ColdPerS", 0, entry_fields.MAX_RATE, 0
        )
        if rate > 0:
            limits[ids.ServiceName(entry_fields.read_name(service, "Name"))] = (
                rate
            )
    return limits


def _read_max_flows(entry: dict[str, Any]) -> dict[ids.ServiceName, int]:
    """Returns the open flows that an upstream of each service holds.

    A number of 0 sets no limit.
    """
    read = json_reader.read_field
    limits = {}
    for listed in read(entry, "Services", list, []):
        service = json_reader.expect(listed, dict, "service")
        max_flows = json_reader.read_integer(
            service, "MaxConns", 0, entry_fields.MAX_COUNT, 0
        )
        if max_flows > 0:
            limits[ids.ServiceName(entry_fields.read_name(service, "Name"))] = (
                max_flows
            )
    return limits


def _convert_route(entry: dict[str, Any]) -> routes.Route:
    read = json_reader.read_field
    repetition = routes.Repetition.AT_MOST_ONCE
    if read(entry, "Kind", str, "") in _REPEATABLE:
        repetition = routes.Repetition.IDEMPOTENT
    return routes.Route(
        name=entry_fields.read_name(entry, "Name"),
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
    read = json_reader.read_field
    shares = []
    for backend in read(entry, "Backends", list, []):
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


def _convert_upstream(name: str, entry: dict[str, Any]) -> upstreams.Upstream:
    fields = entry_fields
    read = json_reader.read_field
    read_integer = json_reader.read_integer
    word = read(entry, "State", str)
    if word not in _STATES:
        raise json_reader.FieldError(
            "State", f"is {json_reader.describe(word)}"
        )
    # Not used, but an entry without them is not one of an upstream.
    read(entry, "Seq", int)
    read(entry, "Version", str)
    # Upstreams that never start again under their name leave it out.
    born_ms = read_integer(entry, "born", 0, fields.MAX_VERSION, 0)
    # How much longer it is slow after its start, as of its last write.
    cold_left_ms = read_integer(entry, "ColdLeftMs", 0, fields.MAX_TIME_MS)
    identity = make_upstream_id(_check_name(name), born_ms)
    return upstreams.Upstream(
        id=identity,
        number=_read_number(name),
        token=tokens.compute_token(identity),
        service=ids.ServiceName(fields.read_own_name(entry, "Service")),
        address=fields.parse_field(
            entry, "Addr", address_text.parse_destination
        ),
        domain=ids.DomainId(fields.read_own_name(entry, "Zone")),
        slots=read_integer(entry, "Slots", 1, fields.MAX_COUNT),
        state=_STATES[word],
        warm_up_s=cold_left_ms / 1000,
    )


def _check_name(name: str) -> str:
    """Returns the name of an upstream if it can be one.

    Raises:
        FieldError: It can't be used in logs and metrics, or is the id of an
            incarnation of another upstream.
    """
    json_reader.check_name(name, _KEY_FIELD, entry_fields.MAX_NAME_CHARACTERS)
    if name.rpartition(_BORN_SEPARATOR)[2].isdigit() and (
        _BORN_SEPARATOR in name
    ):
        raise json_reader.FieldError(_KEY_FIELD, "names an incarnation")
    return name


def make_upstream_id(name: str, born_ms: int) -> ids.UpstreamId:
    """Returns the id of one incarnation of an upstream.

    Guards against an upstream that starts again under the name that it had:
    it knows nothing of the flows of before. With an id, and so a token, of
    its own it starts with no load, no doubts and no flows here.

    Args:
        name: The name under which it enters itself.
        born_ms: When it started, milliseconds since 1970; 0 if not told.
    """
    return ids.UpstreamId(
        f"{name}{_BORN_SEPARATOR}{born_ms}" if born_ms else name
    )


def _read_number(name: str) -> int:
    """Returns the number that packets for an upstream carry.

    Raises:
        ValueError: The name has no digits, or too many.
    """
    digits = "".join(c for c in name.lower() if c in _HEX_DIGITS)
    if not digits or int(digits, 16) > _MAX_NUMBER:
        raise json_reader.FieldError(_KEY_FIELD, "names no number of 64 bits")
    return int(digits, 16)


def _make_error(key: str, error: ValueError) -> errors.UnreadableEntryError:
    field, reason = "", str(error)
    if isinstance(error, json_reader.FieldError):
        field, reason = error.field, error.reason
    # Keys may hold surrogates, which no log line can.
    peer = key[: entry_fields.MAX_NAME_CHARACTERS]
    peer = peer.encode("utf-8", "backslashreplace").decode()
    return errors.UnreadableEntryError(
        reason, step="read entry", peer=peer, field=field
    )
