"""Entries of the platform's store, read into the project's own types."""

from __future__ import annotations

import socket

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import route as routes
from persimmonhinge.forwarding import settings
from persimmonhinge.forwarding import tokens
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.platform import messages

DESIRED_STATE = "op/config"
UPSTREAMS = "servers/"
HOSTS = "persimmonhinge/hosts/"

_IDEMPOTENT = "idempotent"
_READY = "ready"


def decode_desired_state(value: bytes) -> desired_states.DesiredState:
    """Reads the desired state.

    Raises:
        UnreadableEntryError: It is not one.
    """
    try:
        entry = msgspec.json.decode(value, type=messages.DesiredStateEntry)
        found = [_convert_route(route) for route in entry.routes]
    except (msgspec.MsgspecError, ValueError, OSError) as error:
        raise _make_error(DESIRED_STATE, error) from error
    return desired_states.DesiredState(
        version=entry.version,
        routes={route.at: route for route in found},
        idle_timeout_s=entry.limits.idle_timeout_ms / 1000,
    )


def decode_upstream(key: str, value: bytes) -> upstreams.Upstream:
    """Reads the entry of an upstream.

    Raises:
        UnreadableEntryError: It is not one.
    """
    try:
        entry = msgspec.json.decode(value, type=messages.ServerEntry)
        return _convert_upstream(upstream_of(key), entry)
    except (msgspec.MsgspecError, ValueError, OSError) as error:
        raise _make_error(key, error) from error


def upstream_of(key: str) -> ids.UpstreamId:
    """Returns the upstream whose entry is under a key."""
    return ids.UpstreamId(key.removeprefix(UPSTREAMS))


def _convert_route(entry: messages.RouteEntry) -> routes.Route:
    shares = [
        routes.Share(ids.ServiceName(backend.service), backend.weight)
        for backend in entry.backends
    ]
    if not shares:
        shares = [routes.Share(ids.ServiceName(entry.service), 1.0)]
    repetition = routes.Repetition.AT_MOST_ONCE
    if entry.kind == _IDEMPOTENT:
        repetition = routes.Repetition.IDEMPOTENT
    address = int.from_bytes(socket.inet_aton(entry.address))
    return routes.Route(
        name=entry.name,
        at=routes.RouteAddress(address, int(entry.port.strip("/"))),
        shares=tuple(shares),
        priority=entry.priority,
        repetition=repetition,
    )


def _convert_upstream(
    upstream: ids.UpstreamId, entry: messages.ServerEntry
) -> upstreams.Upstream:
    state = upstreams.UpstreamState.DRAINING
    if entry.state == _READY:
        state = upstreams.UpstreamState.READY
    digits = "".join(c for c in upstream.lower() if c in "0123456789abcdef")
    return upstreams.Upstream(
        id=upstream,
        number=int(digits, 16),
        token=tokens.compute_token(upstream),
        service=ids.ServiceName(entry.service),
        address=settings.parse_endpoint(entry.address),
        domain=ids.DomainId(entry.domain),
        slots=max(1, entry.slots),
        state=state,
        cold_s=entry.cold_left_ms / 1000,
    )


def _make_error(key: str, error: Exception) -> errors.UnreadableEntryError:
    return errors.UnreadableEntryError(str(error), step="read entry", peer=key)
