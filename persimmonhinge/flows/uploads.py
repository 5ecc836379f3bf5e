"""Bodies that callers send in blocks, put together (RFC 7959)."""

from __future__ import annotations

import collections

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import blocks
from persimmonhinge.flows import digests
from persimmonhinge.flows import outcome
from persimmonhinge.flows import port
from persimmonhinge.flows import upload as upload_module
from persimmonhinge.metrics import counts as counts_module

# Octets of bodies over all callers.
MAX_STORED_OCTETS = 32 * 1024 * 1024
# A body that grew lately is not dropped for another one.
_ACTIVE_UPLOAD_S = 5.0

UploadResult = upload_module.CompleteRequest | codec.Message | outcome.Silence


class Uploads:
    """Puts bodies together, in order and never from two requests."""

    def __init__(
        self, counts: counts_module.Counts, retention_s: float
    ) -> None:
        self._counts = counts
        self._retention_s = retention_s
        # Least recently touched first.
        self._uploads: collections.OrderedDict[
            upload_module.UploadKey, upload_module.Upload
        ] = collections.OrderedDict()
        self._stored_octets = 0

    def add_block(
        self, flow: port.Flow, message: codec.Message, max_octets: int
    ) -> UploadResult:
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
        refusal = _check_block(message, max_octets)
        if refusal is not None:
            return refusal
        block = message.opt.block1
        if block.block_number == 0 and not block.more:
            return upload_module.CompleteRequest(message, message.token)
        key = upload_module.UploadKey(
            flow,
            digests.compute_options_digest(message),
            tuple(message.opt.request_tag),
        )
        if block.block_number == 0 and not self._start_upload(key):
            self._counts.add("home_uploads_without_room_total")
            return outcome.Silence()
        upload = self._uploads.get(key)
        if upload is None or not self._append_block(key, upload, message):
            self._remove_upload(key)
            self._counts.add("home_uploads_incomplete_total")
            return blocks.make_block1_reply(
                codes.Code.REQUEST_ENTITY_INCOMPLETE, block
            )
        if block.more:
            return blocks.make_block1_reply(codes.Code.CONTINUE, block)
        return _make_complete_request(upload, message)

    def remove_expired(self) -> None:
        """Drops bodies that stand still."""
        limit = trio.current_time() - self._retention_s
        while self._uploads:
            key, upload = next(iter(self._uploads.items()))
            if upload.last_block_at > limit:
                return
            self._remove_upload(key)

    def _start_upload(self, key: upload_module.UploadKey) -> bool:
        """Makes room for a new body; False if there is none."""
        self._remove_upload(key)
        while self._stored_octets >= MAX_STORED_OCTETS:
            oldest, upload = next(iter(self._uploads.items()))
            if upload.last_block_at > trio.current_time() - _ACTIVE_UPLOAD_S:
                return False
            self._remove_upload(oldest)
        self._uploads[key] = upload_module.Upload(trio.current_time())
        return True

    def _append_block(
        self,
        key: upload_module.UploadKey,
        upload: upload_module.Upload,
        message: codec.Message,
    ) -> bool:
        """Adds a block; False if it does not continue what is there.

        Guards against a body made of two requests: a block that differs
        from what is there, or leaves a gap, ends the upload.
        """
        block = message.opt.block1
        end = block.start + len(message.payload)
        upload.last_block_at = trio.current_time()
        self._uploads.move_to_end(key)
        if block.start == len(upload.body) and upload.last_block_start is None:
            upload.body += message.payload
            self._stored_octets += len(message.payload)
            upload.last_block_start = None if block.more else block.start
            return True
        if upload.body[block.start : end] != message.payload:
            return False
        return block.more or upload.last_block_start == block.start

    def _remove_upload(self, key: upload_module.UploadKey) -> None:
        upload = self._uploads.pop(key, None)
        if upload is not None:
            self._stored_octets -= len(upload.body)


def _check_block(
    message: codec.Message, max_octets: int
) -> codec.Message | None:
    """Returns the answer to a block that no upload can take; else None."""
    block = message.opt.block1
    if not blocks.has_valid_size(block, len(message.payload)):
        return blocks.make_block1_reply(codes.Code.BAD_REQUEST, block)
    if block.start + len(message.payload) > max_octets:
        return blocks.make_block1_reply(
            codes.Code.REQUEST_ENTITY_TOO_LARGE, block, max_octets
        )
    return None


def _make_complete_request(
    upload: upload_module.Upload, message: codec.Message
) -> upload_module.CompleteRequest:
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
    return upload_module.CompleteRequest(whole, upload.token)
