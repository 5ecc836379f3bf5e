"""The hello that both ends of a link exchange first."""

from __future__ import annotations

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import view as views
from persimmonhinge.peers import errors as link_errors
from persimmonhinge.peers import frames
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages

_READ_OCTETS = 4096
_GAVE_UP = (
    link_messages.RefusalCause.DEAD.value,
    link_messages.RefusalCause.OLD_INCARNATION.value,
)


def make_hello(
    view: views.View, expected_host: ids.HostId
) -> link_messages.Hello:
    """Returns what this host says of itself."""
    me = view.self_member
    return link_messages.Hello(
        lowest_version=frames.LOWEST_VERSION,
        highest_version=frames.HIGHEST_VERSION,
        host=me.host,
        domain=me.domain,
        incarnation=me.incarnation,
        expected_host=expected_host,
    )


def find_fault(
    hello: link_messages.Hello, view: views.View
) -> link_messages.Refusal | None:
    """Returns why a link with the sender of a hello is refused, or None."""
    cause = link_messages.RefusalCause
    if not _has_common_version(hello):
        text = f"versions {hello.lowest_version} to {hello.highest_version}"
        return link_messages.Refusal(cause.VERSION.value, text)
    if hello.expected_host != view.me:
        text = f"this is {view.me}, not {hello.expected_host}"
        return link_messages.Refusal(cause.WRONG_HOST.value, text)
    member = view.get(hello.host)
    if member is None or hello.incarnation > member.incarnation:
        return None
    if hello.incarnation < member.incarnation:
        text = f"incarnation {hello.incarnation}, known {member.incarnation}"
        return link_messages.Refusal(cause.OLD_INCARNATION.value, text)
    if not member.is_alive:
        text = f"{hello.host} counts as dead here"
        return link_messages.Refusal(cause.DEAD.value, text)
    return None


def check_answer(
    hello: link_messages.Hello, view: views.View, host: ids.HostId
) -> None:
    """Checks the hello of a host that was dialed.

    Raises:
        PeerProtocolError: It is another host or an older process, or has no
            version in common.
    """
    fault = find_fault(hello, view)
    if hello.host != host:
        text = f"{hello.host} answered in place of {host}"
        cause = link_messages.RefusalCause.WRONG_HOST.value
        fault = link_messages.Refusal(cause, text)
    if fault is not None:
        raise make_error(fault, step="check hello", peer=host)


def make_error(
    refusal: link_messages.Refusal, *, step: str, peer: str
) -> errors.PeerError:
    """Returns the error that a refusal of a link stands for."""
    kind: type[errors.PeerError] = errors.PeerProtocolError
    if refusal.cause == link_messages.RefusalCause.CREDENTIAL.value:
        kind = errors.PeerCredentialError
    return kind(f"{refusal.cause}: {refusal.text}", step=step, peer=peer)


async def send_message(
    stream: trio.abc.Stream, kind: frames.FrameKind, message: base.Message
) -> None:
    """Sends a frame before the link has queues."""
    await stream.send_all(frames.FrameWriter().write(kind, 0, message))


async def receive_hello(
    stream: trio.abc.Stream, reader: frames.FrameReader
) -> link_messages.Hello:
    """Returns the hello of the other side.

    Raises:
        PeerProtocolError: It sent something else, or refused the link.
        PeerGaveUpError: It counts this incarnation of this host as dead, or
            knows a newer one.
        PeerCredentialError: It refused the credential.
        PeerLinkLostError: It closed the link.
    """
    reader.most_octets = frames.MAX_HELLO_OCTETS
    frame = await _receive_frame(stream, reader)
    reader.most_octets = frames.MAX_FRAME_OCTETS
    if frame.kind is frames.FrameKind.REFUSE:
        refusal = frames.read_body(frame, link_messages.Refusal, reader.peer)
        if refusal.cause in _GAVE_UP:
            raise link_errors.PeerGaveUpError(
                f"{refusal.cause}: {refusal.text}",
                step="open link",
                peer=reader.peer,
            )
        raise make_error(refusal, step="open link", peer=reader.peer)
    if frame.kind is not frames.FrameKind.HELLO:
        raise errors.PeerProtocolError(
            "first frame is no hello", step="read hello", peer=reader.peer
        )
    return frames.read_body(frame, link_messages.Hello, reader.peer)


async def _receive_frame(
    stream: trio.abc.Stream, reader: frames.FrameReader
) -> frames.Frame:
    while True:
        data = await stream.receive_some(_READ_OCTETS)
        if not data:
            raise errors.PeerLinkLostError(
                "closed before hello", step="read hello", peer=reader.peer
            )
        found = list(reader.read(bytes(data)))
        if len(found) > 1:
            # Neither side may send on before it was answered.
            raise errors.PeerProtocolError(
                "frames after hello", step="read hello", peer=reader.peer
            )
        if found:
            return found[0]


def _has_common_version(hello: link_messages.Hello) -> bool:
    lowest = max(hello.lowest_version, frames.LOWEST_VERSION)
    highest = min(hello.highest_version, frames.HIGHEST_VERSION)
    return lowest <= highest
