"""Digests of the answers sent to a caller, from the oldest to the newest.

They are stored as one `bytes` object, because 16 separate objects would take
0.8 kB per feed.
"""

from __future__ import annotations

import xxhash

from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import limits

# The probability that two different answers have the same digest is 2e-10.
# Digests are only compared to find duplicates, mainly when a feed changes its
# upstream, and a collision would drop one event.
DIGEST_OCTETS = 4


def compute(message: codec.Message) -> bytes:
    """Returns the digest of the code and the body of an answer.

    Options are excluded, because upstreams that publish the same state may
    send different values of ETag or Max-Age.
    """
    digest = xxhash.xxh32(message.payload, seed=int(message.code))
    return digest.digest()


def append(recent: bytes, digest: bytes) -> bytes:
    """Appends a digest and drops the oldest digest beyond the limit."""
    max_octets = limits.MAX_RECENT_ANSWERS * DIGEST_OCTETS
    return (recent + digest)[-max_octets:]


def count(recent: bytes) -> int:
    """Returns the number of digests."""
    return len(recent) // DIGEST_OCTETS


def last(recent: bytes) -> bytes:
    """Returns the newest digest, or empty bytes if there is none."""
    return recent[-DIGEST_OCTETS:]


def get(recent: bytes, position: int) -> bytes:
    """Returns the digest at a position."""
    offset = position * DIGEST_OCTETS
    return recent[offset : offset + DIGEST_OCTETS]


def find(recent: bytes, digest: bytes, start: int = 0) -> int:
    """Returns the last position of a digest at or after `start`, or -1."""
    for position in range(count(recent) - 1, start - 1, -1):
        if get(recent, position) == digest:
            return position
    return -1


def split(recent: bytes) -> tuple[bytes, ...]:
    """Returns the digests as a tuple, the form used in messages."""
    offsets = range(0, len(recent), DIGEST_OCTETS)
    return tuple(recent[o : o + DIGEST_OCTETS] for o in offsets)


def join(recent: tuple[bytes, ...]) -> bytes:
    """Returns the digests of a message as one `bytes` object.

    Digests of the wrong length are dropped.
    """
    whole = [d for d in recent if len(d) == DIGEST_OCTETS]
    return b"".join(whole[-limits.MAX_RECENT_ANSWERS :])
