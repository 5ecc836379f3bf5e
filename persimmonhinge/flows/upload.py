"""One body that a caller sends in blocks."""

from __future__ import annotations

import dataclasses

from persimmonhinge.coap import codec
from persimmonhinge.flows import port


@dataclasses.dataclass(frozen=True, slots=True)
class UploadKey:
    """What the blocks of one body share.

    Attributes:
        flow: Whose they are.
        line: Hash of what they ask for.
        tags: Their Request-Tag options (RFC 9175 section 3).
    """

    flow: port.Flow
    options_digest: bytes
    request_tags: tuple[bytes, ...]


@dataclasses.dataclass(slots=True, eq=False)
class Upload:
    """A body as far as it has come.

    Attributes:
        touched: When its last block came, on trio's clock.
        body: The octets so far.
        ended_at: Where its last block began; None before it came.
        token: Token of the first copy of the last block.
        echo: Ticket of that copy.
    """

    last_block_at: float
    body: bytearray = dataclasses.field(default_factory=bytearray)
    last_block_start: int | None = None
    token: bytes = b""
    echo: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True)
class CompleteRequest:
    """A request whose body is complete.

    Attributes:
        message: The request with its whole body.
        token: The token that it is known by.
    """

    message: codec.Message
    token: bytes
