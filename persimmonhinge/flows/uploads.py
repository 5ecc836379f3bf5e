"""Bodies that callers send in blocks, put together (RFC 7959)."""

from __future__ import annotations

import collections

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import blocks
from persimmonhinge.flows import digests
from persimmonhinge.flows import no_reply
from persimmonhinge.flows import port
from persimmonhinge.flows import upload as uploads
from persimmonhinge.metrics import counts as host_counts

# Octets of bodies over all callers.
MAX_OCTETS = 32 * 1024 * 1024
# A body that grew lately is not dropped for another one.
_BUSY_S = 5.0

Taken = uploads.Whole | codec.Message | no_reply.NoReply


class Uploads:
    """Puts bodies together, in order and never from two requests."""

    def __init__(self, counts: host_counts.Counts, life_s: float) -> None:
        self._counts = counts
        self._life_s = life_s
        # Least recently touched first.
        self._known: collections.OrderedDict[
            uploads.UploadKey, uploads.Upload
        ] = collections.OrderedDict()
        self._octets = 0

    def take(
        self, flow: port.Flow, message: codec.Message, limit_octets: int
    ) -> Taken:
        """Takes a request with a Block1 option.

        Args:
            flow: Whose it is.
            message: The request.
            limit_octets: Size that its body may have.

        Returns:
            The whole request after its last block; else the answer to this
            block: 2.31 for the next one, 4.08 if earlier ones are missing
            (they went to another home, or it forgot them), 4.13 if the body
            gets too large; or none if there is no room now.
        """
        refusal = _refuse_block(message, limit_octets)
        if refusal is not None:
            return refusal
        block = message.opt.block1
        if block.block_number == 0 and not block.more:
            return uploads.Whole(message, message.token)
        key = uploads.UploadKey(
            flow,
            digests.compute_line_digest(message),
            tuple(message.opt.request_tag),
        )
        if block.block_number == 0 and not self._restart(key):
            self._counts.add("home_uploads_without_room_total")
            return no_reply.NoReply()
        upload = self._known.get(key)
        if upload is None or not self._add(key, upload, message):
            self._drop(key)
            self._counts.add("home_uploads_incomplete_total")
            return blocks.reject_upload(
                codes.Code.REQUEST_ENTITY_INCOMPLETE, block
            )
        if block.more:
            return blocks.reject_upload(codes.Code.CONTINUE, block)
        return _finish(upload, message)

    def forget_old(self) -> None:
        """Drops bodies that stand still."""
        limit = trio.current_time() - self._life_s
        while self._known:
            key, upload = next(iter(self._known.items()))
            if upload.touched > limit:
                return
            self._drop(key)

    def _restart(self, key: uploads.UploadKey) -> bool:
        """Makes room for a new body; False if there is none."""
        self._drop(key)
        while self._octets >= MAX_OCTETS:
            oldest, upload = next(iter(self._known.items()))
            if upload.touched > trio.current_time() - _BUSY_S:
                return False
            self._drop(oldest)
        self._known[key] = uploads.Upload(trio.current_time())
        return True

    def _add(
        self,
        key: uploads.UploadKey,
        upload: uploads.Upload,
        message: codec.Message,
    ) -> bool:
        """Adds a block; False if it does not continue what is there.

        Guards against a body made of two requests: a block that differs
        from what is there, or leaves a gap, ends the upload.
        """
        block = message.opt.block1
        end = block.start + len(message.payload)
        upload.touched = trio.current_time()
        self._known.move_to_end(key)
        if block.start == len(upload.body) and upload.ended_at is None:
            upload.body += message.payload
            self._octets += len(message.payload)
            upload.ended_at = None if block.more else block.start
            return True
        if upload.body[block.start : end] != message.payload:
            return False
        return block.more or upload.ended_at == block.start

    def _drop(self, key: uploads.UploadKey) -> None:
        upload = self._known.pop(key, None)
        if upload is not None:
            self._octets -= len(upload.body)


def _refuse_block(
    message: codec.Message, limit_octets: int
) -> codec.Message | None:
    """Returns the answer to a block that no upload can take; else None."""
    block = message.opt.block1
    if not blocks.is_sound(block, len(message.payload)):
        return blocks.reject_upload(codes.Code.BAD_REQUEST, block)
    if block.start + len(message.payload) > limit_octets:
        return blocks.reject_upload(
            codes.Code.REQUEST_ENTITY_TOO_LARGE, block, limit_octets
        )
    return None


def _finish(upload: uploads.Upload, message: codec.Message) -> uploads.Whole:
    """Returns the whole request.

    Guards against a second run where the last block is repeated under a new
    token, as a caller may that lost the answer: under the same ticket it is
    known by the token of the first copy.
    """
    echo = message.opt.echo or b""
    if not echo or upload.echo != echo:
        upload.echo = echo
        upload.token = message.token
    whole = codec.Message(code=message.code, payload=bytes(upload.body))
    for option in message.opt.option_list():
        whole.opt.add_option(option)
    return uploads.Whole(whole, upload.token)
