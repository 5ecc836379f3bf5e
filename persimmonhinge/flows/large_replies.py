"""Large replies, stored so that callers can request their later blocks."""

from __future__ import annotations

import collections
import dataclasses

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import block_params
from persimmonhinge.flows import blocks

# Maximum total size of the stored replies of all callers. If a caller requests
# a later block of a reply that was removed early, the home fetches the reply
# from an upstream again or queries the keepers for it.
MAX_STORED_OCTETS = 32 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredReply:
    reply: codec.Message
    expires_at: float


class LargeReplies:
    """Splits replies into blocks and stores those larger than one block."""

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._replies: collections.OrderedDict[
            block_params.ReplyKey, _StoredReply
        ] = collections.OrderedDict()
        self._stored_octets = 0

    def extract_block(
        self, reply: codec.Message, params: block_params.BlockParams
    ) -> codec.Message:
        """Returns the requested block of a reply."""
        part = self._extract_and_store(reply, params)
        if params.block1 is not None and part.opt.block1 is None:
            part.opt.block1 = params.block1
        return part

    def find_reply(
        self, params: block_params.BlockParams
    ) -> codec.Message | None:
        """Returns the stored reply of which a later block is requested."""
        for key in params.reply_keys:
            stored = self._replies.get(key)
            if stored is not None:
                return stored.reply
        return None

    def remove_expired(self) -> None:
        """Removes replies whose retention time has passed."""
        now = trio.current_time()
        while self._replies:
            key, stored = next(iter(self._replies.items()))
            if stored.expires_at > now:
                return
            self._remove_reply(key)

    def _extract_and_store(
        self, reply: codec.Message, params: block_params.BlockParams
    ) -> codec.Message:
        size = 1 << (blocks.MAX_SIZE_EXPONENT + 4)
        if params.block2 is not None:
            size = min(size, params.block2.size)
        fits = len(reply.payload) <= size
        if fits and not (params.is_later_block and reply.code.is_successful()):
            return reply
        blocks.add_etag(reply)
        if not fits:
            self._store_reply(reply, params)
        part = blocks.extract_block(reply, params.block2)
        if part is None:
            return codec.Message(code=codes.Code.BAD_REQUEST)
        return part

    def _store_reply(
        self, reply: codec.Message, params: block_params.BlockParams
    ) -> None:
        expires_at = trio.current_time() + self._retention_s
        for key in params.reply_keys:
            self._remove_reply(key)
            self._replies[key] = _StoredReply(reply, expires_at)
            self._stored_octets += len(reply.payload)
        while self._stored_octets > MAX_STORED_OCTETS:
            self._remove_reply(next(iter(self._replies)))

    def _remove_reply(self, key: block_params.ReplyKey) -> None:
        stored = self._replies.pop(key, None)
        if stored is not None:
            self._stored_octets -= len(stored.reply.payload)
