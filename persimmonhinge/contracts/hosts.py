"""This host's entry in the platform's list of live and leaving hosts."""

from __future__ import annotations

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.store import keys
from persimmonhinge.store import port

_STEP = "announce leaving"
_STATE = "state"
LEAVING = "leaving"


async def announce_leaving(
    platform: port.Platform, prefix: str, host: ids.HostId
) -> None:
    """Marks a host as leaving in the platform's list.

    The list is the platform's own: its other members are kept as they are,
    whatever they mean, and a host that it does not list is not added.

    Raises:
        PlatformError: The platform failed, or the entry can't be read.
        ConflictError: The entry changed at the same time.
    """
    key = keys.host_key(prefix, host)
    found = await platform.get(key)
    if found is None:
        return
    members = _read_members(found.value, host)
    members[_STATE] = LEAVING
    revision = await platform.write_if(
        (port.Compare(key, found.mod_revision),),
        (port.Write(key, msgspec.json.encode(members)),),
    )
    if revision is None:
        raise errors.ConflictError("the entry changed", step=_STEP, peer=host)


def _read_members(value: bytes, host: ids.HostId) -> dict[str, object]:
    try:
        return msgspec.json.decode(value, type=dict[str, object])
    except msgspec.MsgspecError as error:
        raise errors.PlatformError(
            f"the entry can't be read: {error}", step=_STEP, peer=host
        ) from error
