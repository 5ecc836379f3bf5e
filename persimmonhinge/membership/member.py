"""A host as a member of the deployment, as seen by another host."""

from __future__ import annotations

import dataclasses
import enum

import xxhash

from persimmonhinge import ids


class MemberState(enum.Enum):
    """State of a host in the view of another host.

    ALIVE: The host answers heartbeats.
    SUSPECT: The host missed heartbeats; it may hold roles until the suspicion
        times out.
    LEAVING: The host announced that it will stop; it accepts no new roles but
        still answers.
    DEAD: The host did not refute the suspicion in time, or has stopped.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a host.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        address: IP address of the peer and heartbeat ports.
        peer_port: TCP port of peer streams.
        heartbeat_port: UDP port of heartbeats.
        incarnation: Number that identifies the process among those that had
            the same host name.
        state: State of the host in the view that holds the member.
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
        """The 32-bit identifier of this incarnation, as used in tickets."""
        return compute_ref(self.host, self.incarnation)

    @property
    def accepts_roles(self) -> bool:
        """True if the host may become a home or a keeper."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    @property
    def is_alive(self) -> bool:
        """True unless the host is dead; peers may still send to it."""
        return self.state is not MemberState.DEAD


def compute_ref(host: ids.HostId, incarnation: ids.Incarnation) -> ids.HostRef:
    """Returns the 32-bit identifier of an incarnation."""
    return ids.HostRef(
        xxhash.xxh32_intdigest(f"{host}\n{incarnation}".encode())
    )
