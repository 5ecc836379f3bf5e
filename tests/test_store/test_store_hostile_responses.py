"""Tests of HTTP answers that are endless, contradictory or damaged."""

from __future__ import annotations

from unittest import mock

import hypothesis
from hypothesis import strategies

from persimmonhinge.store import chunk_reader
from persimmonhinge.store import response_reader

_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = _OK + b"Transfer-Encoding: chunked\r\n\r\n"
_BODY = b'{"items":[{"Key":"servers/a","Value":"e30=","Revision":3}]}'
_REAL = (
    _OK + b"Content-Length: %d\r\n\r\n" % len(_BODY) + _BODY,
    _CHUNKED + b"%x\r\n" % len(_BODY) + _BODY + b"\r\n0\r\nA: b\r\n\r\n",
)
_PIECE_OCTETS = 1_460
_LONG = 100_000


def feed(octets: bytes, piece_octets: int) -> response_reader.Response | None:
    """Returns the answer that is read of octets that come in pieces."""
    reader = response_reader.ResponseReader()
    for at in range(0, len(octets), piece_octets):
        if reader.response is None:
            reader.feed(octets[at : at + piece_octets])
    return reader.response


def test_answers_without_end_are_refused_early() -> None:
    """Guards against a host that collects megabytes that are no answer."""
    for octets in (
        _OK + b"A: b\r\n" * _LONG,
        _CHUNKED + b"f" * _LONG,
        _CHUNKED + b"1;" + b"x" * _LONG,
        _CHUNKED + b"ffffffffffffffffffff\r\n",
        _CHUNKED + b"0\r\n" + b"A: b\r\n" * _LONG,
        _OK + b"Content-Length: 99999999999999999999\r\n\r\n",
        _OK + b"Content-Length: " + b"9" * 5_000 + b"\r\n\r\n",
        _OK + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        _OK + b"Transfer-Encoding: chunked\r\nTransfer-Encoding:\r\n\r\n",
    ):
        try:
            response = feed(octets, _PIECE_OCTETS)
        except ValueError:
            continue
        raise AssertionError(f"{octets[:80]!r} was read as {response}")


def test_chunks_are_read_once_however_many_pieces_they_come_in() -> None:
    """Guards against a host that stands still while it reads an answer."""
    chunk_count = 20_000
    octets = _CHUNKED + b"1\r\na\r\n" * chunk_count + b"0\r\n\r\n"
    piece_count = len(octets) // _PIECE_OCTETS + 1
    with mock.patch.object(
        chunk_reader, "_read_size", wraps=chunk_reader._read_size
    ) as read_size:
        response = feed(octets, _PIECE_OCTETS)
    assert response is not None
    assert response.body == b"a" * chunk_count
    assert read_size.call_count <= chunk_count + piece_count


@hypothesis.given(
    strategies.sampled_from(_REAL),
    strategies.lists(
        strategies.tuples(strategies.integers(0, 200), strategies.binary()),
        max_size=4,
    ),
    strategies.integers(1, 200),
)
def test_damaged_answer_is_read_or_refused(
    octets: bytes, damages: list[tuple[int, bytes]], piece_octets: int
) -> None:
    """Guards against an error that callers of the reader don't expect."""
    for at, inserted in damages:
        octets = octets[:at] + inserted + octets[at + len(inserted) // 2 :]
    try:
        feed(octets, piece_octets)
    except ValueError:
        return


@hypothesis.given(strategies.sampled_from(_REAL), strategies.integers(1, 200))
def test_size_of_pieces_does_not_change_an_answer(
    octets: bytes, piece_octets: int
) -> None:
    response = feed(octets, piece_octets)
    assert response is not None
    assert response.body == _BODY
