"""One request datagram of a caller and the reply to it."""

from __future__ import annotations

import dataclasses

from aiocoap.numbers import types
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import block_params as block_params_module
from persimmonhinge.flows import port

ExchangeKey = tuple[port.Flow, int]


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """A request datagram, from its first copy until its reply is removed.

    Attributes:
        flow: The flow that sent the request.
        message_id: Message id of the request.
        token: Token of the request.
        confirmable: Whether the request is of type CON.
        fingerprint: Hash of the datagram without its message id.
        received_at: Time at which the first copy was received, seconds on
            trio's clock.
        acknowledged: True if an empty ACK was sent, or if none may be sent
            any more.
        reply: The reply as it was sent; None until it is sent.
        is_confirmed: Whether the caller has shown that it received the
            reply.
        cancel_scope: Cancels the task that runs the request; None if no
            task runs.
        block_params: Block options of the request and the keys under which
            a large reply is stored.
    """

    flow: port.Flow
    message_id: int
    token: bytes
    confirmable: bool
    fingerprint: bytes
    received_at: float
    acknowledged: bool = False
    reply: codec.Message | None = None
    is_confirmed: bool = False
    cancel_scope: trio.CancelScope | None = None
    block_params: block_params_module.BlockParams = (
        block_params_module.NO_BLOCK_PARAMS
    )

    @property
    def key(self) -> ExchangeKey:
        """Flow and message id of the request."""
        return (self.flow, self.message_id)

    @property
    def has_separate_reply(self) -> bool:
        """True if the reply was sent separately from the ACK, as a CON."""
        return self.reply is not None and self.reply.mtype is types.CON
