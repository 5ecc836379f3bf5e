"""Tests of the reader of HTTP answers, against a library as the oracle."""

from __future__ import annotations

import h11
import hypothesis
from hypothesis import strategies

from persimmonhinge.store import response_reader

_GOOD = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
    b"HTTP/1.1 404 Not Found\r\ncontent-length:0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\na\r\n0\r\nTrailer: x\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx",
    b"HTTP/1.1 204 No Content\r\n\r\n",
)
_BAD = (
    b"\x00" * 8 + b"\r\n\r\n",
    b"HTTP/2 200 OK\r\n\r\n",
    b"HTTP/1.1 x00 OK\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nno header\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n",
)


def read_with_library(octets: bytes) -> tuple[int, bytes]:
    """Returns the status and the body as the library reads them."""
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/", headers=[("Host", "x")])
    connection.send(request)
    connection.send(h11.EndOfMessage())
    connection.receive_data(octets)
    status, body = 0, b""
    while True:
        event = connection.next_event()
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return status, body
        else:
            raise AssertionError(f"the answer is not whole: {event}")


def feed(octets: bytes, cuts: list[int]) -> response_reader.Response | None:
    """Returns what is read of octets that come in pieces."""
    reader = response_reader.ResponseReader()
    start = 0
    for cut in sorted(c % (len(octets) + 1) for c in cuts):
        if start < cut and reader.response is None:
            reader.feed(octets[start:cut])
            start = cut
    if reader.response is None and start < len(octets):
        reader.feed(octets[start:])
    return reader.response


@hypothesis.given(
    strategies.sampled_from(_GOOD),
    strategies.lists(strategies.integers(0, 200), max_size=6),
)
def test_answers_are_read_as_the_library_reads_them(
    octets: bytes, cuts: list[int]
) -> None:
    response = feed(octets, cuts)
    assert response is not None
    assert (response.status, response.body) == read_with_library(octets)
    assert response.keeps is (b"close" not in octets)


@hypothesis.given(strategies.sampled_from(_GOOD), strategies.integers(0, 200))
def test_part_of_an_answer_is_no_answer(octets: bytes, cut: int) -> None:
    reader = response_reader.ResponseReader()
    reader.feed(octets[: cut % len(octets)])
    assert reader.response is None


def test_what_is_no_answer_is_refused() -> None:
    for octets in _BAD:
        try:
            response_reader.ResponseReader().feed(octets)
        except ValueError:
            continue
        raise AssertionError(f"{octets!r} was taken")


@hypothesis.given(strategies.binary())
def test_no_octets_end_the_reader(octets: bytes) -> None:
    for head in (b"", b"HTTP/1.1 200 OK\r\n"):
        try:
            response_reader.ResponseReader().feed(head + octets)
        except ValueError:
            continue
