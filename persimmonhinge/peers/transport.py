"""How links reach the network: TCP, with the deployment's credential."""

from __future__ import annotations

from typing import Protocol

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members


class Transport(Protocol):
    """Opens and secures the streams under links."""

    async def dial(self, member: members.Member) -> trio.abc.Stream:
        """Returns a stream to a host that showed its credential.

        Raises:
            PeerUnreachableError: The host can't be reached.
            PeerCredentialError: It has not the credential of the host.
        """

    async def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Secures a stream that came in.

        Raises:
            PeerCredentialError: The other side has no credential.
        """

    def check_name(self, stream: trio.abc.Stream, host: ids.HostId) -> None:
        """Checks that the credential shown on a stream is that of a host.

        Raises:
            PeerCredentialError: It is not.
        """


class TcpTransport:
    """TCP without a credential; for tests only."""

    async def dial(self, member: members.Member) -> trio.abc.Stream:
        """Returns a stream to a host."""
        return await dial_tcp(member)

    async def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Returns the stream itself."""
        return stream

    def check_name(self, stream: trio.abc.Stream, host: ids.HostId) -> None:
        """Accepts any name."""


async def dial_tcp(member: members.Member) -> trio.SocketStream:
    """Opens a TCP stream to a host.

    Raises:
        PeerUnreachableError: The host can't be reached.
    """
    try:
        return await trio.open_tcp_stream(member.address, member.peer_port)
    except OSError as error:
        raise errors.PeerUnreachableError(
            str(error), step="dial", peer=member.host
        ) from error
