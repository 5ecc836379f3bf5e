"""The link to one other host, dialed when it is needed."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import logging

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.peers import backoff as backoffs
from persimmonhinge.peers import connection as connections
from persimmonhinge.peers import dialed
from persimmonhinge.peers import dialing
from persimmonhinge.peers import errors as link_errors
from persimmonhinge.peers import network
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers.messages import base

logger = logging.getLogger(__name__)

# A link that lived shorter than this counts as a failed attempt, seconds:
# else a peer that closes each link at once would be dialed without pause.
_SHORT_LIFE_S = 1.0


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

    def __init__(self, host: ids.HostId, context: dialing.LinkContext) -> None:
        self.host = host
        self._context = context
        self._outbox = outboxes.Outbox(
            context.counts,
            most_sends=context.settings.queue_messages,
            batch_octets=context.batch_octets,
        )
        self._attempt: _Attempt | None = None
        self._connection: dialed.DialedConnection | None = None
        self._backoff = backoffs.Backoff(context.settings)

    def send(self, message: base.Message) -> bool:
        """Queues a message without an answer; see `PeerNetwork.send`."""
        try:
            self._ensure_begun()
        except errors.PeerUnreachableError:
            return False
        connection = self._find_open()
        if connection is not None:
            connection.note_use()
        elif self._backoff.has_failed:
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
    def is_unused(self) -> bool:
        """True if no link stands and none is being opened."""
        return self._connection is None and self._attempt is None

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
        if self._find_open() is not None:
            # A change of the view closes it; see `refresh`.
            return
        member = self._context.view.get(self.host)
        if member is None or not member.is_alive:
            raise self._make_unreachable("find host", "unknown or dead")
        if self._attempt is not None:
            return
        self._backoff.begin(member)
        self._attempt = _Attempt()
        self._context.nursery.start_soon(self._run, self._attempt, member)

    def _find_open(self) -> dialed.DialedConnection | None:
        if self._connection is None or self._connection.closed:
            return None
        return self._connection

    async def _open_call(self, message: base.Message) -> dialed.OpenedCall:
        self._ensure_begun()
        connection = self._find_open()
        if connection is None:
            connection = await self._wait_attempt()
        return await connection.open_call(message)

    async def _wait_attempt(self) -> dialed.DialedConnection:
        attempt = self._attempt
        assert attempt is not None
        await attempt.done.wait()
        if isinstance(attempt.error, link_errors.PeerGaveUpError):
            raise link_errors.PeerGaveUpError(
                str(attempt.error), step="open link", peer=self.host
            ) from attempt.error
        if attempt.connection is None:
            text = str(attempt.error or "this host stops")
            raise self._make_unreachable("open link", text) from attempt.error
        return attempt.connection

    async def _run(self, attempt: _Attempt, member: members.Member) -> None:
        try:
            connection = await dialing.dial(member, self._context, self._outbox)
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
            if self._connection is connection:
                # Else the next link stands already: closing a stream in good
                # order takes time, and does not hold the next one up.
                self._connection = None
                self._context.open_links.discard(self.host)
        if trio.current_time() - began < _SHORT_LIFE_S:
            self._backoff.note_failure()
        else:
            self._backoff.reset()
        if self._outbox.has_sends:
            self._go_on()

    def _go_on(self) -> None:
        try:
            self._ensure_begun()
        except errors.PeerUnreachableError:
            self._outbox.drop_sends("unreachable")

    def _note_failure(self, error: errors.PeerError) -> None:
        cause = type(error).__name__
        self._context.counts.add("peer_dials_failed_total", cause=cause)
        if not self._backoff.has_failed:
            logger.warning("No link to %s: %s.", self.host, error)
        self._outbox.drop_sends("unreachable")
        self._backoff.note_failure()

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
    elif not member.is_alive and member.incarnation == incarnation:
        connection.close(cause, f"{member.host} counts as dead")


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
