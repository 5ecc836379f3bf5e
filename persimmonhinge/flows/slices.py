"""Large answers, cut into blocks and kept for the later ones."""

from __future__ import annotations

import collections
import dataclasses

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import blocks
from persimmonhinge.flows import shape as shapes

# Octets of answers over all callers. One that is forgotten early is fetched
# again, or asked of the keepers.
MAX_OCTETS = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Kept:
    whole: codec.Message
    until: float


class Slices:
    """Cuts answers, and keeps those that did not fit in one datagram."""

    def __init__(self, life_s: float) -> None:
        self._life_s = life_s
        self._kept: collections.OrderedDict[shapes.SliceKey, _Kept] = (
            collections.OrderedDict()
        )
        self._octets = 0

    def shape(self, reply: codec.Message, shape: shapes.Shape) -> codec.Message:
        """Returns the block of an answer that its request wants."""
        part = self._cut(reply, shape)
        if shape.block1 is not None and part.opt.block1 is None:
            part.opt.block1 = shape.block1
        return part

    def find(self, shape: shapes.Shape) -> codec.Message | None:
        """Returns the kept answer of which a later block is wanted."""
        for key in shape.keys:
            kept = self._kept.get(key)
            if kept is not None:
                return kept.whole
        return None

    def forget_old(self) -> None:
        """Drops answers whose time is over."""
        now = trio.current_time()
        while self._kept:
            key, kept = next(iter(self._kept.items()))
            if kept.until > now:
                return
            self._drop(key)

    def _cut(self, reply: codec.Message, shape: shapes.Shape) -> codec.Message:
        size = 1 << (blocks.LARGEST_EXPONENT + 4)
        if shape.block2 is not None:
            size = min(size, shape.block2.size)
        fits = len(reply.payload) <= size
        if fits and not (shape.is_later and reply.code.is_successful()):
            return reply
        blocks.add_etag(reply)
        if not fits:
            self._keep(reply, shape)
        part = blocks.cut(reply, shape.block2)
        if part is None:
            return codec.Message(code=codes.Code.BAD_REQUEST)
        return part

    def _keep(self, whole: codec.Message, shape: shapes.Shape) -> None:
        until = trio.current_time() + self._life_s
        for key in shape.keys:
            self._drop(key)
            self._kept[key] = _Kept(whole, until)
            self._octets += len(whole.payload)
        while self._octets > MAX_OCTETS:
            self._drop(next(iter(self._kept)))

    def _drop(self, key: shapes.SliceKey) -> None:
        kept = self._kept.pop(key, None)
        if kept is not None:
            self._octets -= len(kept.whole.payload)
