"""The platform's formats behind the interfaces of the product."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import math

from persimmonhinge import ids
from persimmonhinge.forwarding import desired_state as desired_states
from persimmonhinge.forwarding import packet as packets
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import upstream as upstreams
from persimmonhinge.light_typing import TYPE_CHECKING
from persimmonhinge.platform import entries
from persimmonhinge.platform import host_item_policy
from persimmonhinge.platform import packets as packet_format
from persimmonhinge.platform import store_reader
from persimmonhinge.store import port

if TYPE_CHECKING:
    from persimmonhinge.forwarding import refusals as refusals_module
    from persimmonhinge.store import transport as transports

SETTINGS_VARIABLE = "PERSIMMONHINGE_NODE_FILE"
# How long a watch of the operators' contracts waits, seconds. They are to be in
# force within 7 s, also when a watch has gone silent.
WATCH_WAIT_S = 4.0


class PacketFormat:
    """Implements `packet_codec.PacketCodec`."""

    def decode(self, octets: bytes) -> packets.Packet:
        """See `packets.decode`."""
        return packet_format.decode(octets)

    def encode_for_upstream(
        self, packet: packets.Packet, number: int, token: int
    ) -> bytes:
        """See `packets.encode_for_upstream`."""
        return packet_format.encode_for_upstream(packet, number, token)

    def encode_reset(self, packet: packets.Packet) -> bytes:
        """See `packets.encode_reset`."""
        return packet_format.encode_reset(packet)


class EntryFormat:
    """Implements `entry_reader.EntryReader`."""

    state_key = entries.DESIRED_STATE
    upstreams_prefix = entries.UPSTREAMS
    evacuations_prefix = entries.EVACUATIONS

    def read_state(self, value: bytes) -> desired_states.DesiredState:
        """See `entries.decode_desired_state`."""
        return entries.decode_desired_state(value)

    def read_upstream(self, key: str, value: bytes) -> upstreams.Upstream:
        """See `entries.decode_upstream`."""
        return entries.decode_upstream(key, value)

    def read_evacuated_domain(self, key: str) -> ids.DomainId:
        """See `entries.decode_evacuated_domain`."""
        return entries.decode_evacuated_domain(key)


def make_reader(
    addresses: Iterable[str],
    make_transport: Callable[[str, int], transports.Transport],
    timeout_s: float,
    watch_wait_s: float = WATCH_WAIT_S,
    refusals: refusals_module.Refusals | None = None,
    knows_entries: Callable[[], bool] = lambda: True,
    max_read_s: float = math.inf,
) -> store_reader.StoreReader:
    """Returns a client of the store that only reads.

    Args:
        addresses: IP addresses and ports of the store, tried in turn.
        make_transport: Makes a connection.
        timeout_s: Limit of a call, seconds.
        watch_wait_s: How long a watch waits for a change, seconds.
        refusals: Records the items that a host refuses; None for a client that
            keeps all items, and refuses an answer with an unreadable one.
        knows_entries: Returns whether the host that reads knows any entry.
        max_read_s: Time after which a read of many pages asks for no more of
            them, seconds.
    """
    settings = make_settings(addresses, timeout_s, watch_wait_s)
    policy = None
    if refusals is not None:
        policy = host_item_policy.HostItemPolicy(refusals, knows_entries)
    return store_reader.StoreReader(
        settings, make_transport, policy, max_read_s
    )


def make_settings(
    addresses: Iterable[str],
    timeout_s: float,
    watch_wait_s: float = WATCH_WAIT_S,
) -> port.StoreSettings:
    """Returns how a client reaches the store.

    Args:
        addresses: IP addresses and ports of the store, tried in turn.
        timeout_s: Limit of a call, seconds.
        watch_wait_s: How long a watch waits for a change, seconds.
    """
    parsed = tuple(forward_settings.parse_endpoint(a) for a in addresses)
    return port.StoreSettings(parsed, timeout_s, watch_wait_s)
