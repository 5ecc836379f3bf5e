"""What hosts tell each other of one host, and which of two tellings holds."""

from __future__ import annotations

import enum
import socket
from typing import Annotated
from typing import Self

import msgspec

from persimmonhinge import ids
from persimmonhinge.membership import member as member_module
from persimmonhinge.peers.messages import base

_NAME = msgspec.Meta(min_length=1, max_length=63)
_PORT = msgspec.Meta(ge=0, le=65535)
_COUNT = msgspec.Meta(ge=0, lt=2**53)


class Claim(enum.IntEnum):
    """What is claimed of a host; of claims on one version the highest holds.

    ALIVE and LEAVING come from the host itself, always with a new version.
    SUSPECT and DEAD come from others, on the version that they doubt.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


STATES = {
    Claim.ALIVE: member_module.MemberState.ALIVE,
    Claim.SUSPECT: member_module.MemberState.SUSPECT,
    Claim.LEAVING: member_module.MemberState.LEAVING,
    Claim.DEAD: member_module.MemberState.DEAD,
}


# A host that starts says that it lives, or that it takes no roles yet.
_FIRST_CLAIMS = {member_module.MemberState.LEAVING: Claim.LEAVING}


class Record(base.Message, array_like=True, frozen=True):
    """One claim on one host.

    Attributes:
        host: Its name.
        domain: Its failure domain.
        address: Its IP address, 4 or 16 octets.
        peer_port: TCP port of peer streams.
        heartbeat_port: UDP port of heartbeats.
        incarnation: Which process of that name.
        version: Counter that only the host itself raises, by which it
            refutes claims on lower versions.
        claim: What is claimed of it.
        age_s: Seconds since it was found dead; 0 for other claims.
    """

    host: Annotated[ids.HostId, _NAME]
    domain: Annotated[ids.DomainId, _NAME]
    address: bytes
    peer_port: Annotated[int, _PORT]
    heartbeat_port: Annotated[int, _PORT]
    incarnation: Annotated[ids.Incarnation, _COUNT]
    version: Annotated[int, _COUNT] = 0
    claim: Claim = Claim.ALIVE
    age_s: Annotated[int, _COUNT] = 0

    def __post_init__(self) -> None:
        if len(self.address) not in (4, 16):
            raise ValueError("an address has 4 or 16 octets")

    @classmethod
    def from_member(cls, member: member_module.Member) -> Self:
        """Returns the first record of a host that starts."""
        return cls(
            host=member.host,
            domain=member.domain,
            address=pack_address(member.address),
            peer_port=member.peer_port,
            heartbeat_port=member.heartbeat_port,
            incarnation=member.incarnation,
            claim=_FIRST_CLAIMS.get(member.state, Claim.ALIVE),
        )

    def to_member(
        self, state: member_module.MemberState
    ) -> member_module.Member:
        """Returns the host as the view holds it."""
        return member_module.Member(
            host=self.host,
            domain=self.domain,
            address=unpack_address(self.address),
            peer_port=self.peer_port,
            heartbeat_port=self.heartbeat_port,
            incarnation=self.incarnation,
            state=state,
        )

    @property
    def heartbeat_address(self) -> tuple[str, int]:
        """Where its heartbeats are received."""
        return (unpack_address(self.address), self.heartbeat_port)

    @property
    def full_version(self) -> tuple[int, int]:
        """Incarnation and version: what a claim is on."""
        return (self.incarnation, self.version)

    @property
    def precedence(self) -> tuple[int, int, int, str, bytes, int, int]:
        """What decides between records of one host.

        The last fields differ only if two processes of one name started in
        the same millisecond; all hosts then prefer the same one.
        """
        return (
            self.incarnation,
            self.version,
            self.claim,
            self.domain,
            self.address,
            self.peer_port,
            self.heartbeat_port,
        )


def merge(one: Record, other: Record) -> Record:
    """Returns the record of a host that holds, given two.

    It is the maximum of a total order, so the result depends neither on the
    order nor on the number of times in which records arrive, and an older
    incarnation or a refuted version never comes back. Of two dead claims
    the one that knows of the earlier death holds: ages then only grow, and
    the record is forgotten in the end however often it is passed on.
    """
    if (other.precedence, other.age_s) > (one.precedence, one.age_s):
        return other
    return one


def pack_address(address: str) -> bytes:
    """Returns the octets of an IP address."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    return socket.inet_pton(family, address)


def unpack_address(address: bytes) -> str:
    """Returns the text of an IP address."""
    family = socket.AF_INET if len(address) == 4 else socket.AF_INET6
    return socket.inet_ntop(family, address)
