"""Tests of the ranges of fields in the platform's entries."""

from __future__ import annotations

import contextlib
import socket

import hypothesis
from hypothesis import strategies

from persimmonhinge import errors
from persimmonhinge.forwarding import address_text
from persimmonhinge.platform import entries
from tests.test_forwarding import entry_scene

_FOREIGN_ADDRESSES = (
    "\ufffd\ufffd:80",
    "10.0\x00.0.1:80",
    "localhost:80",
    "127.1:80",
    "1.2.3.4 x:80",
    "1.2.3.4\n:80",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "10.0.0.٨:80",
    "10.0.0.1:٨٠",
    "10.0.0.1:²",
    "10.0.0.1:+80",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
)


def find_refused_field(**fields: object) -> str | None:
    """Returns the field for which an upstream is refused; None if it is not."""
    document = {**entry_scene.UPSTREAM, **fields}
    try:
        entries.decode_upstream("servers/i-1", entry_scene.encode(document))
    except errors.UnreadableEntryError as error:
        assert error.reason
        return error.field
    return None


def test_addresses_that_no_packet_can_be_sent_to_are_refused() -> None:
    """Guards against a host that ends when it sends to an upstream.

    `sendto` raises `TypeError` for a host name that can't be encoded, and
    looks up all others while packets wait.
    """
    for address in _FOREIGN_ADDRESSES:
        assert find_refused_field(Addr=address) == "Addr", address
    for address in ("127.0.0.1:1", "10.0.0.0:65535", "240.0.0.1:080"):
        assert find_refused_field(Addr=address) is None, address


@hypothesis.given(
    strategies.text("0123456789.x \x00²")
    | strategies.ip_addresses(v=4).map(str)
)
def test_addresses_are_parsed_as_the_kernel_takes_them(text: str) -> None:
    expected = parsed = None
    with contextlib.suppress(OSError, ValueError):
        expected = socket.inet_pton(socket.AF_INET, text)
    with contextlib.suppress(ValueError):
        parsed = address_text.parse_address(text).to_bytes(4)
    assert parsed == expected
