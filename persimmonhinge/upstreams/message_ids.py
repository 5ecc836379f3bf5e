"""Message ids of one socket."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge.coap import transmission

_ID_COUNT = 1 << 16
_CHUNK_SIZE = 1 << 8


class MessageIds:
    """Counts message ids up and knows when they would come round too soon.

    Guards against a request that an upstream takes for the retransmission
    of an older one: it would be answered with the older answer and not run.
    RFC 7252 section 4.4 forbids to reuse an id within the lifetime of an
    exchange. Times are kept for each chunk of 256 ids, not for each id.
    """

    def __init__(self, first: int, clock: Callable[[], float]) -> None:
        self._next = first % _ID_COUNT
        self._clock = clock
        self._chunk_used_at: dict[int, float] = {}

    def next(self) -> int:
        """Returns the next id."""
        message_id = self._next
        self._next = (message_id + 1) % _ID_COUNT
        if self._next % _CHUNK_SIZE == 0:
            self._chunk_used_at[message_id // _CHUNK_SIZE] = self._clock()
        return message_id

    def is_exhausted(self) -> bool:
        """Tells whether ids come round that were used within the lifetime.

        The time of a chunk is that of its last use, so it is a bound for
        all of its ids. The chunk after the present one counts too, so that
        what is under way when this turns true has ids left.
        """
        chunk = self._next // _CHUNK_SIZE
        return any(
            self._clock() - used_at < transmission.EXCHANGE_LIFETIME_S
            for index in (chunk, (chunk + 1) % (_ID_COUNT // _CHUNK_SIZE))
            if (used_at := self._chunk_used_at.get(index)) is not None
        )
