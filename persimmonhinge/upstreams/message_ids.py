"""Allocation of the CoAP message ids of one socket."""

from __future__ import annotations

from collections.abc import Callable

from persimmonhinge.coap import transmission

_ID_COUNT = 1 << 16
_CHUNK_SIZE = 1 << 8


class MessageIds:
    """Allocates consecutive message ids and detects premature reuse.

    If an id is reused too early, the upstream takes the new request for a
    retransmission of an older one: it sends the older answer again and does
    not run the new request. RFC 7252 section 4.4 forbids the reuse of an id
    within the lifetime of an exchange. Times are stored for each chunk of
    256 ids, not for each id.
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
        """Returns whether the next ids were used within the lifetime.

        The time of a chunk is that of the last use of any of its ids, so no
        id of the chunk was used later. The chunk after the current one is
        checked, too, so that exchanges in progress still have free ids when
        this becomes true.
        """
        chunk = self._next // _CHUNK_SIZE
        return any(
            self._clock() - used_at < transmission.EXCHANGE_LIFETIME_S
            for index in (chunk, (chunk + 1) % (_ID_COUNT // _CHUNK_SIZE))
            if (used_at := self._chunk_used_at.get(index)) is not None
        )
