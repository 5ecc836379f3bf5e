"""Reads one HTTP/1.1 answer after the other from a connection.

A parser from a library draws in `typing` and more, which a small host does not
need before its first packet. Only what a store may answer is read: a body with
a length, or in chunks.
"""

from __future__ import annotations

from persimmonhinge import records
from persimmonhinge.store import chunk_reader

# Largest answer that is read. A page of the store holds at most 1 MB of values,
# which base64 makes a third longer, and a little around them.
_MOST_OCTETS = 4 * 1024 * 1024
# Longest status line and headers that are read.
_MOST_HEAD_OCTETS = 65_536
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
_NO_BODY = frozenset({204, 304})
# Headers that say where an answer ends.
_SINGLE = frozenset({b"content-length", b"transfer-encoding"})


class Response(records.Record, frozen=True):
    """An answer to a call.

    Attributes:
        status: HTTP status code.
        body: The whole body.
        keeps: True if the connection may carry another call.
    """

    status: int
    body: bytes
    keeps: bool


class ResponseReader:
    """Collects the octets of one answer.

    Octets are looked at once, however many pieces they come in.

    Attributes:
        response: The answer once it is whole; None until then.
    """

    def __init__(self) -> None:
        self.response: Response | None = None
        self._octets = bytearray()
        # Up to where the octets hold no end of the part that is being read.
        self._searched = 0
        # Once the head has come: what it says, and where the body begins. A
        # body without a length comes in chunks.
        self._body_at = 0
        self._status = 0
        self._keeps = False
        self._length: int | None = None
        self._chunks: chunk_reader.ChunkReader | None = None

    def feed(self, octets: bytes) -> None:
        """Takes in octets that came.

        Raises:
            ValueError: They are no answer, or it is too long.
        """
        self._octets += octets
        if len(self._octets) > _MOST_OCTETS:
            raise ValueError("answer is too long")
        if not self._body_at:
            self._take_head()
        if self._body_at:
            self._take_body()

    def _take_head(self) -> None:
        head_end = self._octets.find(_HEAD_END, self._searched)
        known_octets = len(self._octets) if head_end < 0 else head_end
        if known_octets > _MOST_HEAD_OCTETS:
            raise ValueError("head is too long")
        if head_end < 0:
            self._searched = max(0, known_octets - len(_HEAD_END) + 1)
            return
        first, *lines = bytes(self._octets[:head_end]).split(_LINE_END)
        version, self._status = _read_status(first)
        fields = _read_headers(lines)
        self._body_at = head_end + len(_HEAD_END)
        if _is_chunked(fields):
            self._chunks = chunk_reader.ChunkReader(
                self._octets, self._body_at, _MOST_OCTETS
            )
        else:
            self._length = _read_length(self._status, fields)
        self._keeps = _keeps(version, fields)

    def _take_body(self) -> None:
        if self._chunks is not None:
            body = self._chunks.read_available()
        else:
            assert self._length is not None
            body = _cut_body(self._octets, self._body_at, self._length)
        if body is not None:
            self.response = Response(self._status, body, self._keeps)


def _read_status(line: bytes) -> tuple[bytes, int]:
    version, _, text = line.partition(b" ")
    code = text[:3]
    if version not in _VERSIONS or len(code) != 3 or not code.isdigit():
        raise ValueError(f"not an answer: {line[:40]!r}")
    return version, int(code)


def _read_header(line: bytes) -> tuple[bytes, bytes]:
    name, colon, value = line.partition(b":")
    if not colon or not name or name != name.strip():
        raise ValueError(f"not a header: {line[:40]!r}")
    return name.lower(), value.strip()


def _read_headers(lines: list[bytes]) -> dict[bytes, bytes]:
    fields: dict[bytes, bytes] = {}
    for line in lines:
        name, value = _read_header(line)
        if name in _SINGLE and fields.get(name, value) != value:
            raise ValueError(f"two values of the header {name!r}")
        fields[name] = value
    return fields


def _is_chunked(fields: dict[bytes, bytes]) -> bool:
    coding = fields.get(b"transfer-encoding", b"").lower()
    if coding not in (b"", b"chunked"):
        raise ValueError(f"unknown transfer coding {coding[:40]!r}")
    return coding == b"chunked"


def _read_length(status: int, fields: dict[bytes, bytes]) -> int:
    if status in _NO_BODY:
        return 0
    text = fields.get(b"content-length", b"")
    if not text.isdigit():
        raise ValueError(f"no length of the body: {text[:40]!r}")
    return int(text)


def _cut_body(octets: bytearray, at: int, length: int) -> bytes | None:
    """Returns the body, None if it is not whole yet."""
    if length > _MOST_OCTETS:
        raise ValueError("answer is too long")
    if len(octets) < at + length:
        return None
    return bytes(octets[at : at + length])


def _keeps(version: bytes, fields: dict[bytes, bytes]) -> bool:
    word = fields.get(b"connection", b"").lower()
    if version == b"HTTP/1.0":
        return word == b"keep-alive"
    return word != b"close"
