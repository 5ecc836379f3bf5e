"""How the answer to a request is cut into blocks."""

from __future__ import annotations

import dataclasses

from persimmonhinge.flows import blocks
from persimmonhinge.flows import port


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyKey:
    """What a large answer is found by for its later blocks.

    Attributes:
        flow: Whose it is.
        name: Names the request: a hash of it, or its ticket and token.
    """

    flow: port.Flow
    request_key: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BlockParams:
    """What a request says about the form of its answer.

    Attributes:
        block1: Block1 option to confirm; None if there was none.
        block2: Block that is wanted; None for the first.
        keys: What the whole answer is to be found by.
    """

    block1: blocks.Block | None = None
    block2: blocks.Block | None = None
    reply_keys: tuple[ReplyKey, ...] = ()

    @property
    def is_later_block(self) -> bool:
        """True if a block after the first is wanted."""
        return self.block2 is not None and self.block2.block_number > 0


NO_BLOCK_PARAMS = BlockParams()
