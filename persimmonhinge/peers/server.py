"""Accepts the links that other hosts dial."""

from __future__ import annotations

import logging

import trio

from persimmonhinge import errors
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import accepted
from persimmonhinge.peers import frames
from persimmonhinge.peers import handlers as handler_tables
from persimmonhinge.peers import handshake
from persimmonhinge.peers import link as links
from persimmonhinge.peers import transport as transports
from persimmonhinge.peers.messages import link as link_messages
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

# Strangers that may be half-way through their hello at a time.
_MOST_STRANGERS = 1000


class Server:
    """Serves the links that other hosts dialed."""

    def __init__(
        self,
        settings: settings_entry.PeerSettings,
        view: views.View,
        counts: metrics.Counts,
        transport: transports.Transport,
        handlers: handler_tables.HandlerTable,
    ) -> None:
        self._settings = settings
        self._view = view
        self._counts = counts
        self._transport = transport
        self._handlers = handlers
        self._connections: set[accepted.AcceptedConnection] = set()
        self._strangers = 0

    async def serve(
        self, stream: trio.abc.Stream, nursery: trio.Nursery
    ) -> None:
        """Serves one stream until it ends; handlers run in the nursery."""
        connection = await self._greet(stream, nursery)
        if connection is None:
            await trio.aclose_forcefully(stream)
            return
        self._counts.add("peer_links_opened_total", side="accepted")
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)

    def refresh(self) -> None:
        """Acts on a change of the view."""
        for connection in tuple(self._connections):
            member = self._view.get(connection.hello.host)
            if member is not None:
                links.close_if_outdated(connection, member)

    async def flush(self) -> None:
        """Returns once all answers went to the sockets."""
        for connection in tuple(self._connections):
            await connection.flush()

    async def _greet(
        self, stream: trio.abc.Stream, nursery: trio.Nursery
    ) -> accepted.AcceptedConnection | None:
        if self._strangers >= _MOST_STRANGERS:
            self._counts.add("peer_refusals_total", cause="strangers")
            return None
        self._strangers += 1
        try:
            with trio.move_on_after(self._settings.connect_timeout_s):
                return await self._exchange(stream, nursery)
            self._counts.add("peer_refusals_total", cause="slow")
        except errors.PeerError as error:
            cause = type(error).__name__
            self._counts.add("peer_refusals_total", cause=cause)
            logger.warning("Refused a link: %s.", error)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._counts.add("peer_refusals_total", cause="broken")
            logger.debug("A link broke before its hello: %s.", error)
        finally:
            self._strangers -= 1
        return None

    async def _exchange(
        self, stream: trio.abc.Stream, nursery: trio.Nursery
    ) -> accepted.AcceptedConnection | None:
        secured = await self._transport.accept(stream)
        reader = frames.FrameReader(transports.describe(stream))
        hello = await handshake.receive_hello(secured, reader)
        reader.peer = hello.host
        refusal = self._find_fault(secured, hello)
        if refusal is not None:
            kind = frames.FrameKind.REFUSE
            await handshake.send_message(secured, kind, refusal)
            await secured.aclose()
            raise handshake.make_error(
                refusal, step="check hello", peer=hello.host
            )
        answer = handshake.make_hello(self._view, hello.host)
        await handshake.send_message(secured, frames.FrameKind.HELLO, answer)
        return accepted.AcceptedConnection(
            secured,
            reader,
            hello,
            self._handlers,
            nursery,
            self._settings,
            self._counts,
        )

    def _find_fault(
        self, stream: trio.abc.Stream, hello: link_messages.Hello
    ) -> link_messages.Refusal | None:
        try:
            self._transport.check_name(stream, hello.host)
        except errors.PeerCredentialError as error:
            cause = link_messages.RefusalCause.CREDENTIAL
            return link_messages.Refusal(cause.value, str(error))
        return handshake.find_fault(hello, self._view)
