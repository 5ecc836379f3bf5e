"""This host's entry in the platform's list of live and leaving hosts."""

from __future__ import annotations

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.platform import keys
from persimmonhinge.platform import port

_STEP = "announce leaving"
LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """The value of a host's key in the list.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        address: IP address of its peer and heartbeat ports.
        port: TCP port of peer streams.
        heartbeat_port: UDP port of heartbeats.
        state: `live` or `leaving`.
    """

    host: str
    domain: str
    address: str
    port: int
    heartbeat_port: int
    state: str = "live"


async def announce_leaving(
    platform: port.Platform, prefix: str, me: members.Member
) -> None:
    """Tells the platform's host list that this host leaves.

    Raises:
        PlatformError: The platform failed; peers know in any case.
        ConflictError: The entry changed at the same time.
    """
    key = keys.host_key(prefix, ids.HostId(me.host))
    listed = ListedHost(
        host=me.host,
        domain=me.domain,
        address=me.address,
        port=me.peer_port,
        heartbeat_port=me.heartbeat_port,
        state=LEAVING,
    )
    value = msgspec.json.encode(listed)
    found = await platform.get(key)
    former = 0 if found is None else found.mod_revision
    revision = await platform.write_if(
        (port.Compare(key, former),), (port.Write(key, value),)
    )
    if revision is None:
        raise errors.ConflictError("the entry changed", step=_STEP)
