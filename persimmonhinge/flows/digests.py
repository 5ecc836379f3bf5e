"""Hashes of requests, which identify copies of the same request."""

from __future__ import annotations

from aiocoap.numbers import optionnumbers
import xxhash

from persimmonhinge.coap import codec
from persimmonhinge.coap import options

# Options that a caller may change between two attempts at the same request,
# and options that the home handles itself and doesn't forward.
HOP_BY_HOP_OPTIONS = frozenset(
    {
        optionnumbers.OptionNumber.BLOCK1,
        optionnumbers.OptionNumber.BLOCK2,
        optionnumbers.OptionNumber.ECHO,
        optionnumbers.OptionNumber.NO_RESPONSE,
        optionnumbers.OptionNumber.OBSERVE,
        optionnumbers.OptionNumber.REQUEST_TAG,
        optionnumbers.OptionNumber.SIZE1,
        optionnumbers.OptionNumber.SIZE2,
        options.DEADLINE,
    }
)


def compute_digest(message: codec.Message) -> bytes:
    """Returns an 8-octet hash that is equal for all attempts at a request.

    It covers the code, the body and all options except those of
    `HOP_BY_HOP_OPTIONS`, so it doesn't depend on the route of the request.
    """
    return _hash_message(message, HOP_BY_HOP_OPTIONS, message.payload)


def compute_options_digest(message: codec.Message) -> bytes:
    """Returns an 8-octet hash of a request without its body.

    It covers the code and all options except those of
    `HOP_BY_HOP_OPTIONS`. The requests for the blocks of one upload, or of
    one large reply, have the same hash.
    """
    return _hash_message(message, HOP_BY_HOP_OPTIONS, b"")


def compute_fingerprint(message: codec.Message) -> bytes:
    """Returns an 8-octet hash of a datagram except for its message id."""
    return _hash_message(message, frozenset(), message.payload, message.token)


def _hash_message(
    message: codec.Message,
    excluded: frozenset[int],
    payload: bytes,
    token: bytes = b"",
) -> bytes:
    parts = [bytes((int(message.code), len(token))), token]
    for option in message.opt.option_list():
        if option.number in excluded:
            continue
        value = option.encode()
        # The lengths separate lists of options whose values concatenate to
        # the same octets.
        parts.append(int(option.number).to_bytes(4, "big"))
        parts.append(len(value).to_bytes(2, "big"))
        parts.append(value)
    parts.append(b"\xff")
    parts.append(payload)
    return xxhash.xxh3_64_digest(b"".join(parts))
