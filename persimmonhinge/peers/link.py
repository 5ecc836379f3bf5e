"""The link to one other host, dialed when it is needed."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import logging
import math
import random

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import connection as connections
from persimmonhinge.peers import dialed
from persimmonhinge.peers import frames
from persimmonhinge.peers import handshake
from persimmonhinge.peers import network
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers import transport as transports
from persimmonhinge.peers.messages import base
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

# The wait between attempts doubles up to this multiple of the first.
_MOST_BACKOFF = 10
# A link that lived shorter than this counts as a failed attempt, seconds:
# else a peer that closes each link at once would be dialed without pause.
_SHORT_LIFE_S = 1.0


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


class _Attempt:
    """One attempt to open the link, for all that wait for it."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.connection: dialed.DialedConnection | None = None
        self.error: errors.PeerError | None = None


class Link:
    """Calls and messages to one host over the link that this host dials.

    Attributes:
        host: Name of the other host.
    """

    def __init__(self, host: ids.HostId, context: LinkContext) -> None:
        self.host = host
        self._context = context
        self._outbox = outboxes.Outbox(
            context.counts,
            most_sends=context.settings.queue_messages,
            batch_octets=context.batch_octets,
        )
        self._attempt: _Attempt | None = None
        self._connection: dialed.DialedConnection | None = None
        self._failures = 0
        self._retry_time = -math.inf
        self._tried: members.Member | None = None

    def send(self, message: base.Message) -> bool:
        """Queues a message without an answer; see `PeerNetwork.send`."""
        try:
            self._ensure_begun()
        except errors.PeerUnreachableError:
            return False
        if self._connection is not None:
            self._connection.note_use()
        elif self._failures > 0:
            # The attempt that was just begun may fail like the last one. In
            # a cut that heartbeats don't show, each would swallow what is
            # sent while it lasts; the sender can take another host.
            return False
        self._outbox.put_send(message)
        return True

    async def call(
        self, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Sends a message and returns its answer; see `PeerNetwork.call`."""
        call: dialed.OpenedCall | None = None
        try:
            with trio.move_on_after(timeout_s):
                call = await self._open_call(message)
                return await call.receive()
            raise self._make_timeout(call, timeout_s)
        except errors.PeerLinkLostError as error:
            raise _refine(call, error) from error
        finally:
            if call is not None:
                call.leave()

    @contextlib.asynccontextmanager
    async def open(
        self, message: base.Message, timeout_s: float
    ) -> AsyncIterator[network.PeerStream]:
        """Opens a stream; see `PeerNetwork.open`."""
        call: dialed.OpenedCall | None = None
        try:
            with trio.move_on_after(timeout_s):
                call = await self._open_call(message)
                await call.frame.wait_settled()
            if call is None or not call.was_sent:
                raise self._make_unreachable("open stream", "not sent in time")
            yield call
        finally:
            if call is not None:
                call.leave()

    def refresh(self) -> None:
        """Acts on a change of the view."""
        member = self._context.view.get(self.host)
        if member is not None and self._connection is not None:
            close_if_outdated(self._connection, member)

    @property
    def is_open(self) -> bool:
        """True if the link stands."""
        return self._connection is not None and not self._connection.closed

    async def flush(self) -> None:
        """Returns once all frames of calls went to the socket."""
        if self._connection is not None:
            await self._connection.flush()

    def _ensure_begun(self) -> None:
        """Begins an attempt unless the link stands or one is under way.

        Raises:
            PeerUnreachableError: The host is unknown or dead, or the wait
                after a failure still runs.
        """
        if self.is_open:
            # A change of the view closes it; see `refresh`.
            return
        member = self._context.view.get(self.host)
        if member is None or not member.answers:
            raise self._make_unreachable("find host", "unknown or dead")
        if self._attempt is not None:
            return
        if self._tried is not None and _is_other_process(member, self._tried):
            # The wait was for a process that is gone.
            self._failures = 0
            self._retry_time = -math.inf
        if trio.current_time() < self._retry_time:
            raise self._make_unreachable("dial", "the last attempt failed")
        self._tried = member
        self._attempt = _Attempt()
        self._context.nursery.start_soon(self._run, self._attempt, member)

    async def _open_call(self, message: base.Message) -> dialed.OpenedCall:
        self._ensure_begun()
        connection = self._connection
        if connection is None or connection.closed:
            connection = await self._wait_attempt()
        return await connection.open_call(message)

    async def _wait_attempt(self) -> dialed.DialedConnection:
        attempt = self._attempt
        assert attempt is not None
        await attempt.done.wait()
        if attempt.connection is None:
            text = str(attempt.error or "this host stops")
            raise self._make_unreachable("open link", text) from attempt.error
        return attempt.connection

    async def _run(self, attempt: _Attempt, member: members.Member) -> None:
        try:
            connection = await self._dial(member)
        except errors.PeerError as error:
            attempt.error = error
            self._note_failure(error)
            return
        else:
            self._connection = connection
            attempt.connection = connection
        finally:
            self._attempt = None
            attempt.done.set()
        await self._serve(connection)

    async def _serve(self, connection: dialed.DialedConnection) -> None:
        began = trio.current_time()
        self._context.counts.add("peer_links_opened_total", side="dialed")
        self._context.open_links.add(self.host)
        try:
            await connection.run()
        finally:
            self._context.open_links.discard(self.host)
            self._connection = None
        if trio.current_time() - began < _SHORT_LIFE_S:
            self._wait_longer()
        else:
            self._failures = 0
        if self._outbox.has_sends:
            self._go_on()

    def _go_on(self) -> None:
        try:
            self._ensure_begun()
        except errors.PeerUnreachableError:
            self._outbox.drop_sends("unreachable")

    async def _dial(self, member: members.Member) -> dialed.DialedConnection:
        timeout_s = self._context.settings.connect_timeout_s
        with trio.move_on_after(timeout_s):
            stream = await self._context.transport.dial(member)
            try:
                return await self._greet(stream)
            except BaseException:
                await trio.aclose_forcefully(stream)
                raise
        raise self._make_unreachable("dial", f"no link in {timeout_s} s")

    async def _greet(self, stream: trio.abc.Stream) -> dialed.DialedConnection:
        context = self._context
        context.transport.check_name(stream, self.host)
        reader = frames.FrameReader(self.host)
        mine = handshake.make_hello(context.view, self.host)
        try:
            kind = frames.FrameKind.HELLO
            await handshake.send_message(stream, kind, mine)
            hello = await handshake.receive_hello(stream, reader)
        except trio.BrokenResourceError as error:
            raise transports.explain_break(error, self.host) from error
        handshake.check_answer(hello, context.view, self.host)
        return dialed.DialedConnection(
            stream,
            reader,
            hello,
            self._outbox,
            context.settings,
            context.counts,
            context.open_links.__len__,
        )

    def _note_failure(self, error: errors.PeerError) -> None:
        cause = type(error).__name__
        self._context.counts.add("peer_dials_failed_total", cause=cause)
        if self._failures == 0:
            logger.warning("No link to %s: %s.", self.host, error)
        self._outbox.drop_sends("unreachable")
        self._wait_longer()

    def _wait_longer(self) -> None:
        factor = min(2**self._failures, _MOST_BACKOFF)
        wait_s = self._context.settings.retry_interval_s * factor
        # Jitter: hosts that lost a peer together don't dial it together.
        wait_s *= random.uniform(0.75, 1.0)
        self._retry_time = trio.current_time() + wait_s
        self._failures += 1

    def _make_unreachable(
        self, step: str, text: str
    ) -> errors.PeerUnreachableError:
        return errors.PeerUnreachableError(text, step=step, peer=self.host)

    def _make_timeout(
        self, call: dialed.OpenedCall | None, timeout_s: float
    ) -> errors.PeerError:
        text = f"nothing in {timeout_s} s"
        if call is None or not call.was_sent:
            return self._make_unreachable("send call", text)
        return errors.PeerCallTimeoutError(
            text, step="wait for answer", peer=self.host
        )


def close_if_outdated(
    connection: connections.Connection, member: members.Member
) -> None:
    """Closes a link whose other end is dead or was replaced."""
    cause = connections.EndCause.VIEW
    incarnation = connection.hello.incarnation
    if member.incarnation > incarnation:
        connection.close(cause, f"incarnation {incarnation} was replaced")
    elif not member.answers and member.incarnation == incarnation:
        connection.close(cause, f"{member.host} counts as dead")


def _is_other_process(one: members.Member, other: members.Member) -> bool:
    return (
        one.incarnation != other.incarnation
        or one.address != other.address
        or one.peer_port != other.peer_port
    )


def _refine(
    call: dialed.OpenedCall | None, error: errors.PeerLinkLostError
) -> errors.PeerError:
    """Returns what is known more exactly than that the call was closed."""
    assert call is not None
    if call.refusal is not None:
        text = f"{call.refusal.cause}: {call.refusal.text}"
        return errors.PeerError(text, step="answer call", peer=call.host)
    if not call.was_sent:
        return errors.PeerUnreachableError(
            str(error), step="send call", peer=call.host
        )
    return error
