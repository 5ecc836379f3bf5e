"""Block-wise transfer (RFC 7959) as a caller does it."""

from __future__ import annotations

import functools

import aiocoap

from persimmonhinge.client import call as calls
from persimmonhinge.client import errors
from persimmonhinge.client import exchange as exchanges
from persimmonhinge.coap import codec

_MOST_RESTARTS = 3
_EXPONENT_OFFSET = 4


async def send_body(
    exchange: exchanges.Exchange,
    call: calls.Call,
    ticket: bytes,
    exponent: int,
) -> codec.Message:
    """Sends a request, in blocks if it is large; returns the answer to it.

    All blocks have the same token, ticket and Request-Tag, so that at every
    host they are one request. When a host lost the first blocks (4.08), all
    are sent again: the service tells by token and ticket whether the
    request has run.
    """
    size = _count_octets(exponent)
    if len(call.payload) <= size:
        message = call.build(exchange.token, ticket)
        message.payload = call.payload
        return await exchange.ask(message, _accept_any)
    offset = 0
    restarts = 0
    while True:
        message = _build_block(exchange, call, ticket, offset, exponent)
        number = message.opt.block1.block_number
        accepts = functools.partial(_accept_upload, number=number)
        answer = await exchange.ask(message, accepts)
        if answer.code is aiocoap.CONTINUE:
            offset += len(message.payload)
            exponent = min(exponent, answer.opt.block1.size_exponent)
        elif _is_incomplete(answer) and restarts < _MOST_RESTARTS:
            restarts += 1
            offset = 0
        else:
            return answer


async def receive_body(
    exchange: exchanges.Exchange,
    call: calls.Call,
    ticket: bytes,
    first: codec.Message,
) -> codec.Message:
    """Asks for the rest of an answer; returns it with the whole body.

    Raises:
        BodyChangedError: The blocks are not all of one representation.
    """
    body = first.payload
    block = first.opt.block2
    exponent = block.size_exponent if block else 0
    while block is not None and block.more:
        message = call.build(exchange.token, ticket)
        number = len(body) // _count_octets(exponent)
        message.opt.block2 = (number, False, exponent)
        accepts = functools.partial(_accept_download, number=number)
        part = await exchange.ask(message, accepts)
        if not part.code.is_successful() or part.opt.etag != first.opt.etag:
            raise errors.BodyChangedError(
                f"block {number} has code {part.code}", step="receive body"
            )
        body += part.payload
        block = part.opt.block2
    first.payload = body
    return first


def _build_block(
    exchange: exchanges.Exchange,
    call: calls.Call,
    ticket: bytes,
    offset: int,
    exponent: int,
) -> codec.Message:
    size = _count_octets(exponent)
    message = call.build(exchange.token, ticket)
    message.payload = call.payload[offset : offset + size]
    more = offset + size < len(call.payload)
    message.opt.block1 = (offset // size, more, exponent)
    # RFC 9175, 3.4: the token is unique to the body, and so may be its tag.
    message.opt.request_tag = [exchange.token]
    if offset == 0:
        message.opt.size1 = len(call.payload)
    return message


def _count_octets(exponent: int) -> int:
    return 1 << (exponent + _EXPONENT_OFFSET)


def _is_incomplete(answer: codec.Message) -> bool:
    return answer.code is aiocoap.REQUEST_ENTITY_INCOMPLETE


def _accept_any(answer: codec.Message) -> bool:
    return True


def _accept_upload(answer: codec.Message, *, number: int) -> bool:
    """Tells late answers to earlier blocks from the one for this block."""
    if answer.code is not aiocoap.CONTINUE:
        return True
    block = answer.opt.block1
    return block is not None and block.block_number == number


def _accept_download(answer: codec.Message, *, number: int) -> bool:
    """Tells late copies of earlier blocks from the block asked for."""
    if not answer.code.is_successful():
        return True
    block = answer.opt.block2
    return block is not None and block.block_number == number
