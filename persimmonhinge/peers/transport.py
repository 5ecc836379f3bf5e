"""How links reach the network: TCP, with the deployment's credential."""

from __future__ import annotations

import ssl
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

    def __init__(self, own_address: str | None = None) -> None:
        """Makes the transport.

        Args:
            own_address: IP address to dial from; None for any.
        """
        self._own_address = own_address

    async def dial(self, member: members.Member) -> trio.abc.Stream:
        """Returns a stream to a host."""
        return await dial_tcp(member, self._own_address)

    async def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Returns the stream itself."""
        return stream

    def check_name(self, stream: trio.abc.Stream, host: ids.HostId) -> None:
        """Accepts any name."""


async def dial_tcp(
    member: members.Member, own_address: str | None = None
) -> trio.SocketStream:
    """Opens a TCP stream to a host.

    Args:
        member: The host.
        own_address: IP address to dial from, so that filters between domains
            see the address that peers know; None for any.

    Raises:
        PeerUnreachableError: The host can't be reached.
    """
    try:
        return await trio.open_tcp_stream(
            member.address, member.peer_port, local_address=own_address
        )
    except OSError as error:
        raise errors.PeerUnreachableError(
            str(error), step="dial", peer=member.host
        ) from error


def explain_break(
    error: trio.BrokenResourceError, host: ids.HostId
) -> errors.PeerError:
    """Returns why a stream broke before its hello was answered.

    Under TLS 1.3 the dialing side is ready before the other side looked at
    its certificate; a refusal shows at the first read. trio closes then
    without the alert that would name the cause.
    """
    cause = error.__cause__
    if isinstance(cause, ssl.SSLEOFError):
        text = "closed before hello, as a host does that refuses a certificate"
        return errors.PeerCredentialError(text, step="say hello", peer=host)
    if isinstance(cause, ssl.SSLError):
        text = f"refused by the other side: {cause}"
        return errors.PeerCredentialError(text, step="say hello", peer=host)
    text = str(cause or error)
    return errors.PeerUnreachableError(text, step="say hello", peer=host)


def describe(stream: trio.abc.Stream) -> str:
    """Returns the address at the other end of a stream, for logs."""
    if not isinstance(stream, trio.SocketStream):
        return "stranger"
    try:
        host, port = stream.socket.getpeername()[:2]
    except OSError:
        return "stranger"
    return f"{host}:{port}"
