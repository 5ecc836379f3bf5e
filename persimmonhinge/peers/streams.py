"""The streams of a host to all its peers."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import logging
from typing import TypeVar

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge import tcp_server
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import accepted
from persimmonhinge.peers import calls
from persimmonhinge.peers import credentials
from persimmonhinge.peers import dialing
from persimmonhinge.peers import handlers as handler_tables
from persimmonhinge.peers import link as links
from persimmonhinge.peers import local
from persimmonhinge.peers import network
from persimmonhinge.peers import outbox as outboxes
from persimmonhinge.peers import server as servers
from persimmonhinge.peers import transport as transports
from persimmonhinge.peers.messages import base
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)

M = TypeVar("M", bound=base.Message)

# Limit for writing what waits when this host stops, seconds.
_FLUSH_LIMIT_S = 2.0


class StreamNetwork:
    """Calls to other hosts over TCP, and to this one without a link.

    Each host dials a link to a peer when it first needs one, and uses its own
    links for its calls; answers come back on the same link.

    Attributes:
        port: TCP port that it listens on, once `run` has started.
    """

    def __init__(
        self,
        settings: settings_entry.EntrySettings,
        view: views.View,
        counts: metrics.Counts,
        transport: transports.Transport | None = None,
        batch_octets: int = outboxes.BATCH_OCTETS,
    ) -> None:
        """Reads the credential; `run` does the rest.

        Args:
            settings: Settings of this host.
            view: The hosts known.
            counts: Counters of this host.
            transport: How streams are opened; None for what the settings say.
            batch_octets: Most octets joined in one write; 1 writes each frame
                alone, for measurements.

        Raises:
            SettingsError: The files of the credential can't be used.
        """
        self.port = settings.peers.port
        self._settings = settings.peers
        self._view = view
        self._counts = counts
        self._transport = transport or credentials.make_transport(
            settings.peers
        )
        self._handlers = handler_tables.HandlerTable(counts)
        self._server = servers.Server(
            settings.peers, view, counts, self._transport, self._handlers
        )
        self._batch_octets = batch_octets
        self._links: dict[ids.HostId, links.Link] = {}
        self._nursery: trio.Nursery | None = None
        self._open_links: set[ids.HostId] = set()
        counts.watch("peer_links_known", self._links.__len__)
        counts.watch("peer_links_open", self._open_links.__len__)

    @property
    def is_running(self) -> bool:
        """True from the start of `run` to its end."""
        return self._nursery is not None

    async def run(
        self,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens and serves until cancelled or closed."""
        listeners = await trio.open_tcp_listeners(
            self.port, host=self._settings.own_address
        )
        self.port = listeners[0].socket.getsockname()[1]
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                nursery.start_soon(self._follow_view)
                nursery.start_soon(self._listen, listeners)
                task_status.started()
        finally:
            self._nursery = None

    async def aclose(self) -> None:
        """Writes what waits, within a limit, and stops `run`."""
        with trio.move_on_after(_FLUSH_LIMIT_S):
            await self._server.flush()
            for link in tuple(self._links.values()):
                await link.flush()
        if self._nursery is not None:
            self._nursery.cancel_scope.cancel()

    def reload_credential(self) -> None:
        """Reads the files of the credential again, for links yet to open.

        Raises:
            SettingsError: They can't be used; the former ones stay in use.
        """
        if isinstance(self._transport, credentials.TlsTransport):
            self._transport.reload()

    def handle(
        self, message_type: type[M], handler: network.Handler[M]
    ) -> None:
        """Sets the handler of a message kind; each call gets its own task.

        A handler is not cancelled when its caller leaves. When it returns
        None, or raises, the call is closed for the caller too.
        """
        self._handlers.set(message_type, handler)

    def handle_sent(
        self, message_type: type[M], receiver: handler_tables.Receiver[M]
    ) -> None:
        """Sets what takes messages of a kind that are sent alone.

        It is called in the reading task of the link, in the order in which
        the messages came, and so must not wait. It goes before a handler and
        saves the task that a handler gets.
        """
        self._handlers.set_receiver(message_type, receiver)

    async def call(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> base.Message:
        """Sends a message and returns its one answer; see `PeerNetwork`.

        Raises:
            PeerUnreachableError: No link; it surely did not arrive.
            PeerLinkLostError: The link closed meanwhile; it may have.
            PeerCallTimeoutError: No answer in time; it may have.
            PeerError: The other side refused it.
        """
        if host == self._view.me:
            return await self._call_here(message, timeout_s)
        return await self._get_link(host).call(message, timeout_s)

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Queues a message without an answer; see `PeerNetwork`."""
        if self._nursery is None:
            return False
        if host != self._view.me:
            return self._get_link(host).send(message)
        if not self._handlers.receive(host, message):
            sender = accepted.SentMessage(host)
            self._nursery.start_soon(self._handlers.run, sender, message)
        return True

    def open(
        self, host: ids.HostId, message: base.Message, timeout_s: float
    ) -> contextlib.AbstractAsyncContextManager[network.PeerStream]:
        """Opens a stream that begins with a message; see `PeerNetwork`."""
        if host == self._view.me:
            return self._open_here(message)
        return self._get_link(host).open(message, timeout_s)

    async def _call_here(
        self, message: base.Message, timeout_s: float
    ) -> base.Message:
        call = self._start_here(message)
        try:
            with trio.move_on_after(timeout_s):
                return await call.receive()
        except errors.PeerLinkLostError as error:
            if call.refusal is None:
                raise
            text = f"{call.refusal.cause}: {call.refusal.text}"
            step = "answer call"
            raise errors.PeerError(text, step=step, peer=call.host) from error
        finally:
            call.close_both(calls.CLOSED_BY_CALLER)
        raise errors.PeerCallTimeoutError(
            f"nothing in {timeout_s} s", step="wait for answer", peer=call.host
        )

    @contextlib.asynccontextmanager
    async def _open_here(
        self, message: base.Message
    ) -> AsyncIterator[network.PeerStream]:
        call = self._start_here(message)
        try:
            yield call
        finally:
            call.close_both(calls.CLOSED_BY_CALLER)

    def _start_here(self, message: base.Message) -> local.LocalCall:
        nursery = self._get_nursery(self._view.me)
        call, served = local.make_call(self._view.me)
        nursery.start_soon(self._handlers.run, served, message)
        return call

    def _get_link(self, host: ids.HostId) -> links.Link:
        nursery = self._get_nursery(host)
        link = self._links.get(host)
        if link is None:
            context = dialing.LinkContext(
                settings=self._settings,
                view=self._view,
                counts=self._counts,
                transport=self._transport,
                nursery=nursery,
                open_links=self._open_links,
                batch_octets=self._batch_octets,
            )
            link = links.Link(host, context)
            self._links[host] = link
        return link

    def _get_nursery(self, host: ids.HostId) -> trio.Nursery:
        if self._nursery is None:
            raise errors.PeerUnreachableError(
                "peer streams do not run", step="open link", peer=host
            )
        return self._nursery

    async def _listen(self, listeners: list[trio.SocketListener]) -> None:
        nursery = self._get_nursery(self._view.me)
        await tcp_server.serve_connections(self._serve, listeners, nursery)

    async def _serve(self, stream: trio.SocketStream) -> None:
        await self._server.serve(stream, self._get_nursery(self._view.me))

    async def _follow_view(self) -> None:
        version = self._view.changed.version
        while True:
            version = await self._view.changed.wait_beyond(version)
            self._server.refresh()
            for host, link in tuple(self._links.items()):
                link.refresh()
                if self._view.get(host) is None and link.is_unused:
                    # Hosts are replaced by others all the time.
                    del self._links[host]
