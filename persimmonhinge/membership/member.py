"""One host as another host knows it."""

from __future__ import annotations

import dataclasses
import enum

import xxhash

from persimmonhinge import ids


class MemberState(enum.Enum):
    """What is believed of a host.

    ALIVE: It answers heartbeats.
    SUSPECT: It missed some; it still counts until the suspicion runs out.
    LEAVING: It said that it stops; it takes no new role but still answers.
    DEAD: It did not refute the suspicion in time.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a host.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        address: IP address of its peer and heartbeat ports.
        peer_port: TCP port of peer streams.
        heartbeat_port: UDP port of heartbeats.
        incarnation: Which process of that name.
        state: What is believed of it.
    """

    host: ids.HostId
    domain: ids.DomainId
    address: str
    peer_port: int
    heartbeat_port: int
    incarnation: ids.Incarnation
    state: MemberState = MemberState.ALIVE

    @property
    def ref(self) -> ids.HostRef:
        """The short name of this incarnation, as tickets carry it."""
        return compute_ref(self.host, self.incarnation)

    @property
    def accepts_roles(self) -> bool:
        """True if it may be a home or a keeper."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def is_alive(self) -> bool:
        """True if peers may still talk to it."""
        return self.state is not MemberState.DEAD


def compute_ref(host: ids.HostId, incarnation: ids.Incarnation) -> ids.HostRef:
    """Returns the 32-bit name of an incarnation."""
    return ids.HostRef(
        xxhash.xxh32_intdigest(f"{host}\n{incarnation}".encode())
    )
