"""Hashes of requests, by which copies of one request are told."""

from __future__ import annotations

from aiocoap.numbers import optionnumbers
import xxhash

from persimmonhinge.coap import codec
from persimmonhinge.coap import options

# What a caller may change between two attempts at the same request, and
# what ends at the home.
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
    """Returns 8 octets that name a request whatever way it takes.

    They cover code, body and all options but those of `HOP_OPTIONS`.
    """
    return _hash_message(message, HOP_BY_HOP_OPTIONS, message.payload)


def compute_options_digest(message: codec.Message) -> bytes:
    """Returns 8 octets that name what a request asks for, without its body.

    The blocks of one upload, or of one large answer, share them.
    """
    return _hash_message(message, HOP_BY_HOP_OPTIONS, b"")


def compute_fingerprint(message: codec.Message) -> bytes:
    """Returns 8 octets that name one datagram, its message id aside."""
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
        # The lengths keep two lists of options apart that join alike.
        parts.append(int(option.number).to_bytes(4, "big"))
        parts.append(len(value).to_bytes(2, "big"))
        parts.append(value)
    parts.append(b"\xff")
    parts.append(payload)
    return xxhash.xxh3_64_digest(b"".join(parts))
