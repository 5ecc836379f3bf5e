"""Datagrams that a broken or hostile caller may send, as strategies."""

from __future__ import annotations

import aiocoap
from aiocoap.numbers import optionnumbers
from hypothesis import strategies

from persimmonhinge.coap import codec

_MOST_OCTETS = 60_000
_PATHS = ("lots", "board", "time", "large", "standin", "drain", "", "x" * 200)
_HOSTS = ("intake", "floor", "127.0.0.1", "", "*")
_NUMBERS = (1, 3, 4, 5, 6, 11, 12, 14, 15, 17, 23, 27, 35, 60, 252, 258, 65_002)


@strategies.composite
def _messages(draw: strategies.DrawFn) -> bytes:
    """Draws requests that are well formed, with options of any value."""
    message = codec.Message(
        code=aiocoap.Code(draw(strategies.sampled_from((1, 2, 3, 4, 5, 69)))),
        payload=draw(strategies.binary(max_size=600)),
    )
    message.mtype = aiocoap.Type(draw(strategies.integers(0, 3)))
    message.mid = draw(strategies.integers(0, 65_535))
    message.token = draw(strategies.binary(max_size=8))
    message.opt.uri_path = draw(
        strategies.lists(strategies.sampled_from(_PATHS), max_size=4)
    )
    message.opt.uri_host = draw(strategies.sampled_from(_HOSTS))
    for number in draw(
        strategies.lists(strategies.sampled_from(_NUMBERS), max_size=5)
    ):
        value = draw(strategies.binary(max_size=45))
        option = optionnumbers.OptionNumber(number)
        message.opt.add_option(aiocoap.optiontypes.OpaqueOption(option, value))
    return codec.encode(message)


@strategies.composite
def _damaged(draw: strategies.DrawFn) -> bytes:
    """Draws well-formed messages that were cut or altered."""
    data = bytearray(draw(_messages()))
    for place in draw(strategies.lists(strategies.integers(0, 30), max_size=4)):
        if place < len(data):
            data[place] = draw(strategies.integers(0, 255))
    return bytes(data[: draw(strategies.integers(0, len(data)))])


_large = strategies.integers(codec.MAX_DATAGRAM_OCTETS, _MOST_OCTETS).map(bytes)

datagrams = _messages() | _damaged() | strategies.binary(max_size=2100) | _large
