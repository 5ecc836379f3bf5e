"""Parameters of block-wise transfer that apply to one request."""

from __future__ import annotations

import dataclasses

from persimmonhinge.flows import blocks
from persimmonhinge.flows import port


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyKey:
    """Key under which a large reply is stored for requests of later blocks.

    Attributes:
        flow: The flow that sent the request.
        request_key: Identifies the request: a hash of it, or its ticket
            followed by its token or by a hash of it.
    """

    flow: port.Flow
    request_key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BlockParams:
    """Block options of a request and the keys of its reply.

    Attributes:
        block1: Block1 option to confirm in the reply; None if the request
            had none.
        block2: The requested block of the reply; None for the first.
        reply_keys: Keys under which the complete reply is stored.
    """

    block1: blocks.Block | None = None
    block2: blocks.Block | None = None
    reply_keys: tuple[ReplyKey, ...] = ()

    @property
    def is_later_block(self) -> bool:
        """True if a block after the first is requested."""
        return self.block2 is not None and self.block2.block_number > 0


NO_BLOCK_PARAMS = BlockParams()
