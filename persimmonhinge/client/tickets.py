"""The newest ticket of a flow, as its caller holds it."""

from __future__ import annotations

import trio

from persimmonhinge.coap import codec


class TicketHolder:
    """Holds the Echo value that came last, while it is young enough.

    Guards against a retransmission that outlives its ticket: a first copy
    could run, its answer be lost, and a later copy be told that its ticket
    has expired, which the caller could not tell from "never ran". A ticket
    is not used past `use_s`, and the rest of its life covers the deadline.
    """

    def __init__(self, use_s: float) -> None:
        self._use_s = use_s
        self._echo = b""
        self._taken_at = 0.0

    def take(self, message: codec.Message) -> bool:
        """Keeps the ticket of an answer; False if it has none."""
        if not message.opt.echo:
            return False
        self._echo = message.opt.echo
        self._taken_at = trio.current_time()
        return True

    def drop(self, ticket: bytes) -> None:
        """Forgets a ticket whose home no longer serves new requests.

        Args:
            ticket: The ticket; a newer one that came meanwhile is kept.
        """
        if self._echo == ticket:
            self._echo = b""

    def get(self) -> bytes:
        """Returns the ticket; empty if there is none to use."""
        if trio.current_time() - self._taken_at > self._use_s:
            return b""
        return self._echo
