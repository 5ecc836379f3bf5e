"""Arithmetic of block-wise transfer (RFC 7959)."""

from __future__ import annotations

from typing import TypeAlias

from aiocoap import optiontypes
from aiocoap.numbers import codes
from aiocoap.numbers import optionnumbers
import xxhash

from persimmonhinge.coap import codec

Block: TypeAlias = optiontypes.BlockOption.BlockwiseTuple

MAX_SIZE_EXPONENT = 6
# For reliable transports only (RFC 8323 section 6).
_RESERVED_EXPONENT = 7
_ECHO = optionnumbers.OptionNumber.ECHO


def has_valid_size(block: Block, payload_octets: int) -> bool:
    """Tells whether a block option fits the payload beside it.

    Args:
        block: The option.
        octets: Size of the payload.
    """
    if block.size_exponent == _RESERVED_EXPONENT:
        return False
    return (
        payload_octets == block.size
        if block.more
        else payload_octets <= block.size
    )


def add_etag(reply: codec.Message) -> None:
    """Gives a large answer an ETag, by which a caller tells its blocks."""
    if reply.opt.etag is None:
        reply.opt.etag = xxhash.xxh3_64_digest(reply.payload)


def extract_block(
    reply: codec.Message, requested: Block | None
) -> codec.Message | None:
    """Returns one block of an answer.

    Args:
        whole: The answer with its whole body.
        wanted: Number and size that the caller asked for; None for the
            first block in the largest size.

    Returns:
        None if the answer ends before that block.
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
    """Returns the answer to a block that can't be taken.

    Args:
        code: Why, as RFC 7959 section 2.9 defines.
        block: The block option of the request.
        limit_octets: Size that would be taken, for 4.13.
    """
    reply = codec.Message(code=code)
    if block.size_exponent != _RESERVED_EXPONENT:
        reply.opt.block1 = block
    if max_octets:
        reply.opt.size1 = max_octets
    return reply
