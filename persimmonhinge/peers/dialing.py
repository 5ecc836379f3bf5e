"""Opens a link to a host: stream, credential and hello."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import dialed
from persimmonhinge.peers import frames
from persimmonhinge.peers import handshake
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers import transport as transports
from persimmonhinge.settings import entry as settings_entry


@dataclasses.dataclass(frozen=True, slots=True)
class LinkContext:
    """What all links of a host share.

    Attributes:
        settings: Settings of the peer streams.
        view: The hosts known.
        counts: Counters of this host.
        transport: How streams are opened.
        nursery: Where the task of each link runs.
        open_links: Hosts with a link that stands.
        batch_octets: Most octets joined in one write.
    """

    settings: settings_entry.PeerSettings
    view: views.View
    counts: metrics.Counts
    transport: transports.Transport
    nursery: trio.Nursery
    open_links: set[ids.HostId]
    batch_octets: int = outboxes.BATCH_OCTETS


async def dial(
    member: members.Member, context: LinkContext, outbox: outboxes.Outbox
) -> dialed.DialedConnection:
    """Opens a link, within the limit that the settings give.

    Raises:
        PeerUnreachableError: The host can't be reached or gives no answer.
        PeerCredentialError: One side refused the credential of the other.
        PeerProtocolError: One side refused the hello of the other.
        PeerLinkLostError: The host closed the link before its hello.
    """
    timeout_s = context.settings.connect_timeout_s
    with trio.move_on_after(timeout_s):
        stream = await context.transport.dial(member)
        try:
            return await _greet(stream, member.host, context, outbox)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
    raise errors.PeerUnreachableError(
        f"no link in {timeout_s} s", step="dial", peer=member.host
    )


async def _greet(
    stream: trio.abc.Stream,
    host: ids.HostId,
    context: LinkContext,
    outbox: outboxes.Outbox,
) -> dialed.DialedConnection:
    context.transport.check_name(stream, host)
    reader = frames.FrameReader(host)
    mine = handshake.make_hello(context.view, host)
    try:
        await handshake.send_message(stream, frames.FrameKind.HELLO, mine)
        hello = await handshake.receive_hello(stream, reader)
    except trio.BrokenResourceError as error:
        raise transports.explain_break(error, host) from error
    handshake.check_answer(hello, context.view, host)
    return dialed.DialedConnection(
        stream,
        reader,
        hello,
        outbox,
        context.settings,
        context.counts,
        context.open_links.__len__,
    )
