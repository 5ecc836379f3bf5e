"""Reassembly of request bodies that callers send in blocks (RFC 7959)."""

from __future__ import annotations

import collections

from aiocoap.numbers import codes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows import blocks
from persimmonhinge.flows import digests
from persimmonhinge.flows import no_reply
from persimmonhinge.flows import port
from persimmonhinge.flows import upload as upload_module
from persimmonhinge.metrics import counts as counts_module

# Maximum total size of the stored bodies of all callers.
MAX_STORED_OCTETS = 32 * 1024 * 1024
# An upload that received a block within this time isn't removed to free
# capacity for another one.
_ACTIVE_UPLOAD_S = 5.0

UploadResult = upload_module.CompleteRequest | codec.Message | no_reply.NoReply


class Uploads:
    """Reassembles each body in order, from the blocks of one request only."""

    def __init__(
        self, counts: counts_module.Counts, retention_s: float
    ) -> None:
        self._counts = counts
        self._retention_s = retention_s
        # Sorted by the time of the last block, oldest first.
        self._uploads: collections.OrderedDict[
            upload_module.UploadKey, upload_module.Upload
        ] = collections.OrderedDict()
        self._stored_octets = 0

    def add_block(
        self, flow: port.Flow, message: codec.Message, max_octets: int
    ) -> UploadResult:
        """Adds the block of a request with a Block1 option to its upload.

        Args:
            flow: The flow that sent the request.
            message: The request.
            max_octets: Maximum size of the body, octets.

        Returns:
            The complete request after its final block; otherwise the reply to
            this block: 2.31 to request the next one, 4.00 if the block has an
            invalid size, 4.08 if earlier blocks are missing (another home
            received them, or they were removed here), 4.13 if the body is too
            large; or `NoReply` if there is no free capacity now.
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
            return no_reply.NoReply()
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
        """Removes uploads that received no block within the retention time."""
        limit = trio.current_time() - self._retention_s
        while self._uploads:
            key, upload = next(iter(self._uploads.items()))
            if upload.last_block_at > limit:
                return
            self._remove_upload(key)

    def _start_upload(self, key: upload_module.UploadKey) -> bool:
        """Starts an upload; returns False if there is no free capacity.

        The oldest inactive uploads are removed to free capacity for it.
        """
        self._remove_upload(key)
        while self._stored_octets >= MAX_STORED_OCTETS:
            oldest_key, upload = next(iter(self._uploads.items()))
            if upload.last_block_at > trio.current_time() - _ACTIVE_UPLOAD_S:
                return False
            self._remove_upload(oldest_key)
        self._uploads[key] = upload_module.Upload(trio.current_time())
        return True

    def _append_block(
        self,
        key: upload_module.UploadKey,
        upload: upload_module.Upload,
        message: codec.Message,
    ) -> bool:
        """Appends a block; returns False if it doesn't fit the upload.

        A block that differs from the octets already received, or leaves a
        gap after them, ends the upload. Otherwise the body could contain
        blocks of two different requests.
        """
        block = message.opt.block1
        end = block.start + len(message.payload)
        upload.last_block_at = trio.current_time()
        self._uploads.move_to_end(key)
        if block.start == len(upload.body) and upload.final_block_start is None:
            upload.body += message.payload
            self._stored_octets += len(message.payload)
            upload.final_block_start = None if block.more else block.start
            return True
        if upload.body[block.start : end] != message.payload:
            return False
        return block.more or upload.final_block_start == block.start

    def _remove_upload(self, key: upload_module.UploadKey) -> None:
        upload = self._uploads.pop(key, None)
        if upload is not None:
            self._stored_octets -= len(upload.body)


def _check_block(
    message: codec.Message, max_octets: int
) -> codec.Message | None:
    """Returns the error reply to an invalid block, None to a valid one."""
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
    """Returns the complete request.

    A caller that lost the reply may send the final block again with a new
    token. So that the request doesn't run twice, all copies of that block with
    the same ticket are identified by the token of the first copy.
    """
    echo = message.opt.echo or b""
    if not echo or upload.echo != echo:
        upload.echo = echo
        upload.token = message.token
    complete = codec.Message(code=message.code, payload=bytes(upload.body))
    for option in message.opt.option_list():
        complete.opt.add_option(option)
    return upload_module.CompleteRequest(complete, upload.token)
