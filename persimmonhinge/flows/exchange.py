"""One request datagram of a caller and what it is answered."""

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
    """A request datagram, from its first copy until its answer is forgotten.

    Attributes:
        flow: Whose it is.
        message_id: Its message id.
        token: Its token.
        confirmable: Whether it came as CON.
        fingerprint: Hash of the datagram.
        begun: When its first copy came, on trio's clock.
        acknowledged: Whether an empty ACK was sent.
        reply: The answer as it was sent; None before.
        is_received: Whether the caller has shown that it has the answer.
        scope: Cancels the work; None if nothing runs.
        shape: What the request says about the form of its answer.
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
        """Flow and message id."""
        return (self.flow, self.message_id)

    @property
    def has_separate_reply(self) -> bool:
        """True if a CON answer of its own was sent after an empty ACK."""
        return self.reply is not None and self.reply.mtype is types.CON
