"""Reads the body of an HTTP answer that comes in chunks."""

from __future__ import annotations

_LINE_END = b"\r\n"
_TRAILERS_END = b"\r\n\r\n"
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
# Longest line with the size of a chunk, and longest trailers, that are read.
_MOST_SIZE_LINE_OCTETS = 1_024
_MOST_TRAILER_OCTETS = 65_536


class ChunkReader:
    """Joins the chunks of a body while the octets come.

    Guards against work that grows with the square of the number of chunks: the
    event loop would stand still for minutes while it reads an answer in chunks
    of an octet.
    """

    def __init__(self, octets: bytearray, at: int, most_octets: int) -> None:
        """Begins at the first chunk.

        Args:
            octets: The octets of the answer; more are added at its end.
            at: Where the first chunk begins.
            most_octets: Longest chunk that is read.
        """
        self._octets = octets
        self._at = at
        self._most_octets = most_octets
        self._body = bytearray()
        self._at_trailers = False
        # Up to where the octets hold no end of the trailers.
        self._searched = 0

    def read_available(self) -> bytes | None:
        """Reads the chunks that have come.

        Returns:
            The body once it is whole; None until then.

        Raises:
            ValueError: The octets are no chunks, or one is too long.
        """
        while not self._at_trailers:
            if not self._read_chunk():
                return None
        return bytes(self._body) if self._has_trailers() else None

    def _read_chunk(self) -> bool:
        """Reads a chunk; false if it is not whole yet."""
        most_at = self._at + _MOST_SIZE_LINE_OCTETS
        line_end = self._octets.find(_LINE_END, self._at, most_at)
        if line_end < 0:
            if len(self._octets) >= most_at:
                raise ValueError("size of a chunk is too long")
            return False
        size = _read_size(bytes(self._octets[self._at : line_end]))
        if size > self._most_octets:
            raise ValueError("chunk is too long")
        start = line_end + len(_LINE_END)
        end = start + size
        if size == 0:
            # The empty line after trailers may be the first one.
            self._at = self._searched = line_end
            self._at_trailers = True
            return True
        if len(self._octets) < end + len(_LINE_END):
            return False
        if not self._octets.startswith(_LINE_END, end):
            raise ValueError("a chunk is longer than it says")
        self._body += self._octets[start:end]
        self._at = end + len(_LINE_END)
        return True

    def _has_trailers(self) -> bool:
        if self._octets.find(_TRAILERS_END, self._searched) >= 0:
            return True
        if len(self._octets) - self._at > _MOST_TRAILER_OCTETS:
            raise ValueError("trailers are too long")
        self._searched = max(
            self._at, len(self._octets) - len(_TRAILERS_END) + 1
        )
        return False


def _read_size(line: bytes) -> int:
    text = line.partition(b";")[0].strip()
    if not text or not _HEX_DIGITS.issuperset(text):
        raise ValueError(f"not the size of a chunk: {line[:40]!r}")
    return int(text, 16)
