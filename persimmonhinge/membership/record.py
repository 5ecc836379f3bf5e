"""Membership records that hosts exchange, and the rule that merges them."""

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
    """A claim about the state of a host.

    Of several claims on one version of a record, the highest one prevails.
    ALIVE and LEAVING come from the host itself, always with a new version.
    SUSPECT and DEAD come from other hosts, with the version that they
    suspect; a host that stops after leaving also claims DEAD of itself.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


STATES_BY_CLAIM = {
    Claim.ALIVE: member_module.MemberState.ALIVE,
    Claim.SUSPECT: member_module.MemberState.SUSPECT,
    Claim.LEAVING: member_module.MemberState.LEAVING,
    Claim.DEAD: member_module.MemberState.DEAD,
}


# First claim of a host that starts. LEAVING means that it accepts no roles
# yet; all other states result in ALIVE.
_FIRST_CLAIMS_BY_STATE = {member_module.MemberState.LEAVING: Claim.LEAVING}


class Record(base.Message, array_like=True, frozen=True):
    """One claim about one host.

    Attributes:
        host: Name of the host.
        domain: Failure domain of the host.
        address: IP address of the host, 4 or 16 octets.
        peer_port: TCP port of peer streams.
        heartbeat_port: UDP port of heartbeats.
        incarnation: Number that identifies the process among those that had
            the same host name.
        version: Counter that only the host itself increments, to refute
            claims on lower versions.
        claim: The claim about the host.
        age_s: Time since the host was declared dead, seconds; 0 for other
            claims.
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
            raise ValueError("host address must have 4 or 16 octets")

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
            claim=_FIRST_CLAIMS_BY_STATE.get(member.state, Claim.ALIVE),
        )

    def to_member(
        self, state: member_module.MemberState
    ) -> member_module.Member:
        """Returns the host as a member with the given state."""
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
        """IP address and UDP port at which the host receives heartbeats."""
        return (unpack_address(self.address), self.heartbeat_port)

    @property
    def full_version(self) -> tuple[int, int]:
        """Incarnation and version to which the claim applies."""
        return (self.incarnation, self.version)

    @property
    def precedence(self) -> tuple[int, int, int, str, bytes, int, int]:
        """Sort key that decides which record of a host prevails.

        The last four fields differ only if two processes with the same name
        started in the same millisecond; all hosts then prefer the same
        process.
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
    """Returns which of two records of a host prevails.

    The result is the maximum in a total order. It therefore depends neither
    on the order of arrival nor on duplicates, and an older incarnation or a
    refuted version never returns. Of two otherwise equal DEAD claims, the one
    with the higher age prevails. Ages can then only increase, so the record
    is eventually forgotten however often hosts send it to each other.
    """
    if (other.precedence, other.age_s) > (one.precedence, one.age_s):
        return other
    return one


def pack_address(address: str) -> bytes:
    """Returns the binary form of an IP address."""
    family = socket.AF_INET6 if ":" in address else socket.AF_INET
    return socket.inet_pton(family, address)


def unpack_address(address: bytes) -> str:
    """Returns the text form of a binary IP address."""
    family = socket.AF_INET if len(address) == 4 else socket.AF_INET6
    return socket.inet_ntop(family, address)
