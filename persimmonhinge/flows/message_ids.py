"""Message ids of datagrams to callers."""

from __future__ import annotations

import array
from collections.abc import Callable
import time

import xxhash

from persimmonhinge.flows import port

_ID_COUNT = 65_536
_BUCKET_COUNT = 65_536
# One id each 4 ms: the clock is round after 262 s, and an id may not come
# back to the same caller within 247 s (RFC 7252 section 4.8.2).
_STEP_MS = 4


def read_wall_clock_ms() -> int:
    """Returns the wall clock, milliseconds."""
    return time.time_ns() // 1_000_000


class MessageIds:
    """Counts message ids, in buckets of callers.

    One counter for all callers would be round in seconds under load; one
    for each costs memory for each flow.

    Guards against a caller that drops what is new: after its home changed,
    the next home may count through ids that the former has just used, and
    the caller takes its notifications for copies. Each count therefore
    follows the wall clock, which is about the same on all hosts; a clock
    that is wrong, or more than 250 ids a second in a bucket, cost only this
    guard.
    """

    def __init__(self, read_ms: Callable[[], int] = read_wall_clock_ms) -> None:
        self._read_ms = read_ms
        # Steps of the clock, not yet cut to 16 bits: 512 KB.
        self._last_steps = array.array("Q", bytes(8 * _BUCKET_COUNT))

    def allocate_id(self, flow: port.Flow) -> int:
        """Returns an id that is new to the caller."""
        host, caller_port = flow.caller
        key = f"{flow.service}\n{host}\n{caller_port}".encode()
        bucket = xxhash.xxh32_intdigest(key) % _BUCKET_COUNT
        step = max(self._last_steps[bucket] + 1, self._read_ms() // _STEP_MS)
        self._last_steps[bucket] = step
        return step % _ID_COUNT
