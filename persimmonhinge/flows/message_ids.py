"""Message ids of the datagrams that are sent to callers."""

from __future__ import annotations

import array
from collections.abc import Callable
import time

import xxhash

from persimmonhinge.flows import port

_ID_COUNT = 65_536
_BUCKET_COUNT = 65_536
# One id every 4 ms: the 16-bit ids wrap after 262 s. An id must not be used
# again for the same caller within 247 s (RFC 7252 section 4.8.2).
_STEP_MS = 4


def read_wall_clock_ms() -> int:
    """Returns the time of the wall clock, milliseconds."""
    return time.time_ns() // 1_000_000


class MessageIds:
    """Allocates message ids from counters, each shared by a bucket of callers.

    One counter for all callers would wrap within seconds under load; one
    counter per caller would need memory for each flow.

    When the home of a flow changes, the new home must not use ids that the
    former home has just used, because the caller would discard the new
    notifications as copies. Each counter therefore follows the wall clock,
    which is about the same on all hosts. If a clock is wrong, or a bucket
    needs more than 250 ids a second, only this protection is lost.
    """

    def __init__(self, read_ms: Callable[[], int] = read_wall_clock_ms) -> None:
        self._read_ms = read_ms
        # Last clock step per bucket, not truncated to 16 bits: 512 KB.
        self._last_steps = array.array("Q", bytes(8 * _BUCKET_COUNT))

    def allocate_id(self, flow: port.Flow) -> int:
        """Returns a message id that the caller hasn't seen recently."""
        host, caller_port = flow.caller
        key = f"{flow.service}\n{host}\n{caller_port}".encode()
        bucket = xxhash.xxh32_intdigest(key) % _BUCKET_COUNT
        step = max(self._last_steps[bucket] + 1, self._read_ms() // _STEP_MS)
        self._last_steps[bucket] = step
        return step % _ID_COUNT
