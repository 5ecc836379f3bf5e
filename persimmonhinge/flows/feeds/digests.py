"""Digests of answers that a caller was sent, newest last, as octets.

Kept as one string of octets: 16 separate objects would take 0.8 kB of each
feed.
"""

from __future__ import annotations

import xxhash

from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import limits

# Two different answers have the same digest with a chance of 2e-10; a digest
# only decides at a seam, where a clash would drop one event.
DIGEST_OCTETS = 4


def compute(message: codec.Message) -> bytes:
    """Returns the digest of an answer: code and body.

    Options are left out: upstreams that publish the same state may differ in
    ETag or Max-Age.
    """
    digest = xxhash.xxh32(message.payload, seed=int(message.code))
    return digest.digest()


def append(recent: bytes, digest: bytes) -> bytes:
    """Returns the digests with one more, less the oldest."""
    most = limits.MAX_RECENT_ANSWERS * DIGEST_OCTETS
    return (recent + digest)[-most:]


def count(recent: bytes) -> int:
    """Returns the number of digests."""
    return len(recent) // DIGEST_OCTETS


def last(recent: bytes) -> bytes:
    """Returns the newest digest, empty if there is none."""
    return recent[-DIGEST_OCTETS:]


def get(recent: bytes, position: int) -> bytes:
    """Returns the digest at a position."""
    offset = position * DIGEST_OCTETS
    return recent[offset : offset + DIGEST_OCTETS]


def find(recent: bytes, digest: bytes, start: int = 0) -> int:
    """Returns the newest position of a digest from `start` on, or -1."""
    for position in range(count(recent) - 1, start - 1, -1):
        if get(recent, position) == digest:
            return position
    return -1


def split(recent: bytes) -> tuple[bytes, ...]:
    """Returns the digests one by one, as messages carry them."""
    offsets = range(0, len(recent), DIGEST_OCTETS)
    return tuple(recent[o : o + DIGEST_OCTETS] for o in offsets)


def join(recent: tuple[bytes, ...]) -> bytes:
    """Returns the digests of a message as octets."""
    whole = [d for d in recent if len(d) == DIGEST_OCTETS]
    return b"".join(whole[-limits.MAX_RECENT_ANSWERS :])
