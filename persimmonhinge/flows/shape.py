"""How the answer to a request is cut into blocks."""

from __future__ import annotations

import dataclasses

from persimmonhinge.flows import blocks
from persimmonhinge.flows import port


@dataclasses.dataclass(frozen=True, slots=True)
class SliceKey:
    """What a large answer is found by for its later blocks.

    Attributes:
        flow: Whose it is.
        name: Names the request: a hash of it, or its ticket and token.
    """

    flow: port.Flow
    name: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """What a request says about the form of its answer.

    Attributes:
        block1: Block1 option to confirm; None if there was none.
        block2: Block that is wanted; None for the first.
        keys: What the whole answer is to be found by.
    """

    block1: blocks.Block | None = None
    block2: blocks.Block | None = None
    keys: tuple[SliceKey, ...] = ()

    @property
    def is_later(self) -> bool:
        """True if a block after the first is wanted."""
        return self.block2 is not None and self.block2.block_number > 0


PLAIN = Shape()
