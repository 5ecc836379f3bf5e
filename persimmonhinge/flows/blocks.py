"""Validation and creation of the blocks of block-wise transfer (RFC 7959)."""

from __future__ import annotations

from typing import TypeAlias

from aiocoap import optiontypes
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
import xxhash

from persimmonhinge.coap import codec

Block: TypeAlias = optiontypes.BlockOption.BlockwiseTuple

MAX_SIZE_EXPONENT = 6
# Size exponent 7 is valid on reliable transports only (RFC 8323 section 6).
_RESERVED_EXPONENT = 7
_ECHO = optionnumbers.OptionNumber.ECHO


def has_valid_size(block: Block, payload_octets: int) -> bool:
    """Returns whether a payload has a valid size for its block option.

    Args:
        block: The Block1 or Block2 option of the message.
        payload_octets: Size of the payload of the same message, octets.
    """
    if block.size_exponent == _RESERVED_EXPONENT:
        return False
    return (
        payload_octets == block.size
        if block.more
        else payload_octets <= block.size
    )


def add_etag(reply: codec.Message) -> None:
    """Sets the ETag by which a caller matches the blocks of a large reply."""
    if reply.opt.etag is None:
        reply.opt.etag = xxhash.xxh3_64_digest(reply.payload)


def extract_block(
    reply: codec.Message, requested: Block | None
) -> codec.Message | None:
    """Returns one block of a reply.

    Args:
        reply: The reply with its complete body.
        requested: Number and size of the block that the caller requested;
            None for the first block in the maximum size.

    Returns:
        The message with this block; None if the body ends before it.
    """
    requested = requested or Block(0, False, MAX_SIZE_EXPONENT)
    block = requested.reduced_to(MAX_SIZE_EXPONENT)
    if block.start and block.start >= len(reply.payload):
        return None
    end = block.start + block.size
    more = end < len(reply.payload)
    part = codec.Message(
        code=reply.code, payload=reply.payload[block.start : end]
    )
    for option in reply.opt.option_list():
        if option.number != _ECHO or block.block_number == 0:
            part.opt.add_option(option)
    part.opt.block2 = (block.block_number, more, block.size_exponent)
    if block.block_number == 0:
        part.opt.size2 = len(reply.payload)
    return part


def make_block1_reply(
    code: codes.Code, block: Block, max_octets: int = 0
) -> codec.Message:
    """Returns the reply to a request block that doesn't complete an upload.

    Args:
        code: The response code: 2.31 to continue, or one of the errors of
            RFC 7959 section 2.9.
        block: The Block1 option of the request.
        max_octets: Maximum size of a body, octets, sent with a 4.13; 0 to
            send no size.
    """
    reply = codec.Message(code=code)
    if block.size_exponent != _RESERVED_EXPONENT:
        reply.opt.block1 = block
    if max_octets:
        reply.opt.size1 = max_octets
    return reply
