"""Inputs that a broken or hostile sender may send, drawn by a seed.

Each function draws one input of a kind. Most are nearly right, so that they
pass the first checks of a decoder.
"""

from __future__ import annotations

import json
import random
import socket
import struct
from typing import Any
import zlib

import msgspec

from persimmonhinge.forwarding.peers import messages

_HUGE = 10**400
# Nested arrays, more than any decoder follows.
_DEEP = 20_000
_BAD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    2**64,
    _HUGE,
    -_HUGE,
    1.5,
    1e308,
    "",
    "x" * 5000,
    "\ufffd\ufffd:8080",
    "a\0b:80",
    "no-such-host:80",
    "127.0.0.1:٣",
    "127.0.0.1:99999",
    "0.0.0.0:80",
    "255.255.255.255:80",
    "\ud800",
    [],
    [[1]],
    {},
    {"a": {}},
)
_ENTRY = {
    "Service": "floor",
    "Addr": "127.0.9.9:9",
    "Zone": "north",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 1,
    "born": 1_790_000_000_000,
}
_BAD_OCTETS = (
    b"",
    b"\xff\xfe\0",
    b"null",
    b"[]",
    b"{",
    b"[" * _DEEP,
    b'{"Slots": ' + b"9" * 5000 + b"}",
    b'{"ColdLeftMs": 1e999, "Service": "floor"}',
)
_REQUESTS = (
    b"GET //[ HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET http://[::1/ready HTTP/1.1\r\nHost: a\r\n\r\n",
    b"HEAD /metrics HTTP/1.1\r\nHost: a\r\n\r\n",
    b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /ready HTTP/1.0\r\n\r\n",
    b"GET /ready HTTP/9.9\r\n\r\n",
    b"POST /ready HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\nx",
    b"GET /ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n",
    b"GET /%ff%fe?%00=%ff&&&= HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /metrics?" + b"a=1&" * 3000 + b" HTTP/1.1\r\nHost: a\r\n\r\n",
    b"GET /" + b"x" * 70_000,
    b"GET /room HTTP/1.1\r\nHost: a\r\nAccept: \xff\xfe\r\n\r\n",
    b"\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01",
    b"",
)
_HEAD = struct.Struct(">IIIB5sIHH4s4sH")


def make_entry(source: random.Random) -> bytes:
    """Returns the value of an entry of another writer, never a usable one."""
    if source.random() < 0.2:
        return source.choice(_BAD_OCTETS)
    entry: dict[str, Any] = dict(_ENTRY)
    name = source.choice([n for n in entry if n != "born"])
    if source.random() < 0.2:
        del entry[name]
    else:
        entry[name] = source.choice(_list_unusable(name))
    return json.dumps(entry).encode()


def _list_unusable(name: str) -> list[Any]:
    """Returns values with which a field makes its entry unreadable."""
    if name == "Addr":
        return list(_BAD_VALUES)
    if isinstance(_ENTRY[name], int):
        low = 1 if name == "Slots" else 0
        return [
            value
            for value in _BAD_VALUES
            if isinstance(value, bool)
            or not isinstance(value, int)
            or value < low
            or value > 2**64
        ]
    return [value for value in _BAD_VALUES if not isinstance(value, str)]


def make_packet(source: random.Random) -> bytes:
    """Returns a datagram for the packet socket."""
    if source.random() < 0.3:
        return source.randbytes(source.randrange(0, 1500))
    data = source.randbytes(source.choice((0, 0, 1, 1200, 1201, 1400)))
    return (
        _HEAD.pack(
            source.getrandbits(32),
            source.getrandbits(32),
            source.getrandbits(32),
            source.getrandbits(8),
            bytes(5),
            source.getrandbits(32),
            source.choice((len(data), 0, 65_535)),
            source.choice((0, 443, 65_535)),
            socket.inet_aton(source.choice(("127.0.9.8", "0.0.0.0"))),
            socket.inet_aton(source.choice(("198.18.0.1", "255.255.255.255"))),
            source.choice((0, 1, 65_535)),
        )
        + data
    )


def make_message(source: random.Random) -> bytes:
    """Returns a datagram for the port of reports."""
    encode = msgspec.msgpack.encode
    match source.randrange(5):
        case 0:
            return source.randbytes(source.randrange(0, 1500))
        case 1:
            # Members beyond the known ones are skipped, however deep they are.
            known = b"".join(map(encode, _make_report(source)[:12]))
            rest = encode(0) + encode([]) + b"\x91" * _DEEP + b"\xc0"
            return b"\xdc\x00\x0f" + known + rest
        case 2:
            octets = zlib.compress(b"\x91" * 1_000_000)
            return encode(messages.CompressedMessage(octets))
        case _:
            octets = encode(_make_report(source))
            if source.random() < 0.3:
                octets = octets[: source.randrange(len(octets))]
            return octets


def _make_report(source: random.Random) -> list[Any]:
    """Returns a report of which one member is out of range."""
    peers: list[Any] = [["127.0.9.7", 7]]
    report: list[Any] = [
        *("report", "stranger", 1, 1, 100, "nowhere", 0, -1, False, False),
        *([], peers, 0, []),
    ]
    bad = [v for v in _BAD_VALUES if not _is_too_large(v)]
    place = source.randrange(1, len(report))
    report[place] = source.choice(bad)
    if source.random() < 0.3:
        peers.append(source.choice((["a\0b", 1], ["", 0], ["x", 2**40])))
    if source.random() < 0.3:
        report[10] = [[source.choice((0, -1, 2**63)) for _ in range(4)]]
    return report


def _is_too_large(value: object) -> bool:
    if isinstance(value, str):
        return not value.isascii() and "\ud800" in value
    return isinstance(value, int) and not -(2**63) <= value < 2**64


def make_request(source: random.Random) -> bytes:
    """Returns what a connection to a page or to snapshots begins with."""
    if source.random() < 0.3:
        return source.randbytes(source.randrange(0, 200))
    return source.choice(_REQUESTS)


def make_answer(source: random.Random) -> bytes:
    """Returns the body of an answer of the store."""
    item = {"Key": "servers/a", "Value": "", "Revision": 1, "Created": 1}
    answer: dict[str, Any] = {
        "items": [item],
        "events": [item],
        "HasMore": False,
        "CurrentRev": 1,
    }
    match source.randrange(4):
        case 0:
            return source.choice(_BAD_OCTETS)
        case 1:
            answer[source.choice(("items", "events"))] = source.choice(
                _BAD_VALUES
            )
        case 2:
            item[source.choice(list(item))] = source.choice(_BAD_VALUES)
        case _:
            answer["CurrentRev"] = source.choice(("1", None, -1, [], 1.5))
    return json.dumps(answer).encode()
