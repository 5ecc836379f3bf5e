"""Reads one HTTP/1.1 answer after the other from a connection.

A parser from a library draws in `typing` and more, a quarter of the processor
time that a small host spends until its first packet (34 of 101 ms beside a
busy machine, medians of 15 starts). Only what a store may answer is read: a
body with a length, or in chunks.
"""

from __future__ import annotations

from persimmonhinge import records

# Largest answer that is read. A page of the store holds at most 1 MB of values,
# which base64 makes a third longer, and a little around them.
_MOST_OCTETS = 4 * 1024 * 1024
_LINE_END = b"\r\n"
_HEAD_END = b"\r\n\r\n"
_VERSIONS = (b"HTTP/1.1", b"HTTP/1.0")
_NO_BODY = frozenset({204, 304})
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


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

    Attributes:
        response: The answer once it is whole; None until then.
    """

    def __init__(self) -> None:
        self.response: Response | None = None
        self._octets = bytearray()

    def feed(self, octets: bytes) -> None:
        """Takes in octets that came.

        Raises:
            ValueError: They are no answer, or it is too long.
        """
        self._octets += octets
        if len(self._octets) > _MOST_OCTETS:
            raise ValueError("answer is too long")
        head_end = self._octets.find(_HEAD_END)
        if head_end < 0:
            return
        head = bytes(self._octets[:head_end])
        body = memoryview(self._octets)[head_end + len(_HEAD_END) :]
        try:
            self._read(head, bytes(body))
        finally:
            body.release()

    def _read(self, head: bytes, rest: bytes) -> None:
        first, *lines = head.split(_LINE_END)
        version, status = _read_status(first)
        fields = dict(_read_header(line) for line in lines)
        if _is_chunked(fields):
            body = _join_chunks(rest)
        else:
            body = _cut_body(rest, _read_length(status, fields))
        if body is not None:
            keeps = _keeps(version, fields)
            self.response = Response(status, body, keeps)


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


def _cut_body(rest: bytes, length: int) -> bytes | None:
    """Returns the body, None if it is not whole yet."""
    if length > _MOST_OCTETS:
        raise ValueError("answer is too long")
    return rest[:length] if len(rest) >= length else None


def _join_chunks(rest: bytes) -> bytes | None:
    """Returns the body that came in chunks, None if it is not whole yet."""
    chunks = []
    while True:
        line, end, rest = rest.partition(_LINE_END)
        if not end:
            return None
        size = _read_size(line)
        if size == 0:
            break
        if len(rest) < size + len(_LINE_END):
            return None
        if not rest.startswith(_LINE_END, size):
            raise ValueError("a chunk is longer than it says")
        chunks.append(rest[:size])
        rest = rest[size + len(_LINE_END) :]
    ends = rest.startswith(_LINE_END) or _HEAD_END in rest
    return b"".join(chunks) if ends else None


def _read_size(line: bytes) -> int:
    text = line.partition(b";")[0].strip()
    if not text or not _HEX_DIGITS.issuperset(text):
        raise ValueError(f"not the size of a chunk: {line[:40]!r}")
    return int(text, 16)


def _keeps(version: bytes, fields: dict[bytes, bytes]) -> bool:
    word = fields.get(b"connection", b"").lower()
    if version == b"HTTP/1.0":
        return word == b"keep-alive"
    return word != b"close"
