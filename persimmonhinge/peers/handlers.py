"""Handlers of messages by kind."""

from __future__ import annotations

from collections.abc import Callable
import logging
from typing import Any
from typing import TypeVar

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import calls
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import link as link_messages

logger = logging.getLogger(__name__)

M = TypeVar("M", bound=base.Message)
Receiver = Callable[[ids.HostId, M], None]


class HandlerTable:
    """Finds and runs the handler of a message; its failures end here."""

    def __init__(self, counts: metrics.Counts) -> None:
        self._counts = counts
        self._handlers: dict[type[base.Message], network.Handler[Any]] = {}
        self._receivers: dict[type[base.Message], Receiver[Any]] = {}

    def set(self, message_type: type[M], handler: network.Handler[M]) -> None:
        """Sets the handler of a message kind."""
        self._handlers[message_type] = handler

    def set_receiver(
        self, message_type: type[M], receiver: Receiver[M]
    ) -> None:
        """Sets what takes messages of a kind that are sent alone."""
        self._receivers[message_type] = receiver

    def receive(self, host: ids.HostId, message: base.Message) -> bool:
        """Gives a message sent alone to its receiver, without a task.

        Returns:
            False if the kind has no receiver.
        """
        receiver = self._receivers.get(type(message))
        if receiver is None:
            return False
        try:
            receiver(host, message)
        except Exception:
            # One message must not cost the link and all calls on it.
            self._log_failure(host, message)
        return True

    async def run(self, call: calls.ServedCall, message: base.Message) -> None:
        """Runs the handler of a message and ends its call."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._counts.add("peer_calls_unsupported_total")
            kind = base.get_kind(message)
            cause = link_messages.RefusalCause.UNSUPPORTED
            await call.refuse(cause, f"no handler for {kind}")
            return
        try:
            answer = await handler(call, message)
        except Exception as error:
            if call.closed and isinstance(error, errors.PeerLinkLostError):
                # Its caller left, so that the handler could go no further.
                return
            # The caller's call fails; the link and other calls go on.
            self._log_failure(call.host, message)
            cause = link_messages.RefusalCause.FAILED
            await call.refuse(cause, type(error).__name__)
            return
        await self._finish(call, answer)

    async def _finish(
        self, call: calls.ServedCall, answer: base.Message | None
    ) -> None:
        try:
            await call.finish(answer)
        except errors.PeerProtocolError as error:
            logger.error("Answer can't be sent: %s.", error)
            await call.refuse(link_messages.RefusalCause.FAILED, str(error))

    def _log_failure(self, host: ids.HostId, message: base.Message) -> None:
        self._counts.add("peer_handler_errors_total")
        kind = base.get_kind(message)
        logger.exception("Handler of %s from %s failed.", kind, host)
