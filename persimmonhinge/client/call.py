"""A request as its caller means it, and the messages made from it."""

from __future__ import annotations

import dataclasses

import aiocoap

from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract as contracts


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request.

    Attributes:
        method: CoAP method.
        path: Path with leading slash.
        payload: The whole body.
        deadline_ms: What is told to the service, milliseconds; None for
            nothing.
        host: Uri-Host; empty for none.
    """

    method: contracts.Method
    path: str
    payload: bytes = b""
    deadline_ms: int | None = None
    host: str = ""

    @property
    def idempotent(self) -> bool:
        """True if its method lets it run twice."""
        return self.method.is_idempotent

    def build(self, token: bytes, ticket: bytes) -> codec.Message:
        """Returns a message without body, message id or block options.

        A retry has the same octets but for the message id, so that the
        service sees that it is the same request; also the deadline stays.
        """
        message = codec.Message(code=aiocoap.Code[self.method.name])
        message.mtype = aiocoap.CON
        message.token = token
        if self.host:
            message.opt.uri_host = self.host
        message.opt.uri_path = tuple(self.path.strip("/").split("/"))
        if ticket:
            message.opt.echo = ticket
        if self.deadline_ms is not None:
            codec.write_deadline_ms(message, self.deadline_ms)
        return message
