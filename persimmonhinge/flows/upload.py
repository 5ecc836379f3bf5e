"""Data structures for request bodies that callers send in blocks."""

from __future__ import annotations

import dataclasses

from persimmonhinge.coap import codec
from persimmonhinge.flows import port


@dataclasses.dataclass(frozen=True, slots=True)
class UploadKey:
    """Identifies the requests that carry the blocks of one body.

    Attributes:
        flow: The flow that sends the requests.
        options_digest: Hash of the code and the options of each request.
        request_tags: Request-Tag options of each request (RFC 9175 section 3).
    """

    flow: port.Flow
    options_digest: bytes
    request_tags: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, eq=False)
class Upload:
    """The part of a body that has been received.

    Attributes:
        last_block_at: Time at which a block was last received, seconds on
            trio's clock.
        body: The octets received so far.
        final_block_start: Offset of the final block, octets; None until it
            is received.
        token: Token of the first copy of the final block.
        echo: Ticket that the first copy of the final block carried.
    """

    last_block_at: float
    body: bytearray = dataclasses.field(default_factory=bytearray)
    final_block_start: int | None = None
    token: bytes = b""
    echo: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request whose body is complete.

    Attributes:
        message: The request with its complete body.
        token: The token that identifies the request under its ticket.
    """

    message: codec.Message
    token: bytes
