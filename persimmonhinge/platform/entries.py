"""Entries of the platform's store, read into the project's own types.

An entry may come from another writer: what lacks a field, or has one of
another type or with an unknown word, is unreadable as a whole. A desired state
is read in parts; see `state_entry`.
"""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import json_reader
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import tokens
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import entry_fields
from persimmonhinge.platform import state_entry

if TYPE_CHECKING:
    from typing import Any

DESIRED_STATE = state_entry.DESIRED_STATE
UPSTREAMS = "servers/"
EVACUATIONS = "op/evacuate/"
HOSTS = "persimmonhinge/hosts/"

_STATES = {
    "ready": upstreams.UpstreamState.READY,
    "draining": upstreams.UpstreamState.DRAINING,
}
_HEX_DIGITS = frozenset("0123456789abcdef")
_MAX_NUMBER = (1 << 64) - 1
# Between the name and the time of the start in the id of an incarnation.
_BORN_SEPARATOR = "@"
# Field of errors about the key of an entry.
_KEY_FIELD = "key"


def decode_desired_state(value: bytes) -> desired_states.DesiredState:
    """Reads the desired state.

    Parts that can't be read are left out, and listed in it.

    Raises:
        UnreadableEntryError: It is not one, or its version or list of routes
            can't be read.
    """
    try:
        return state_entry.convert_state(json_reader.decode_object(value))
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
    own_name = ids.UpstreamName(_check_name(name))
    service = ids.ServiceName(fields.read_own_name(entry, "Service"))
    return upstreams.Upstream(
        id=make_upstream_id(own_name, born_ms),
        number=_read_number(name),
        token=tokens.compute_token(own_name, service),
        service=service,
        address=fields.parse_field(
            entry, "Addr", address_text.parse_destination
        ),
        domain=ids.DomainId(fields.read_own_name(entry, "Zone")),
        slots=read_integer(entry, "Slots", 1, fields.MAX_COUNT),
        state=_STATES[word],
        warm_up_s=cold_left_ms / 1000,
        started_at_ms=born_ms,
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


def make_upstream_id(name: ids.UpstreamName, born_ms: int) -> ids.UpstreamId:
    """Returns the id of one incarnation of an upstream.

    Guards against an upstream that starts again under the name that it had:
    with an id of its own it starts with no load and no doubts here.

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
