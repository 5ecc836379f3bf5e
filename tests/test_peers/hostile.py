"""Octets that a broken or hostile peer may send."""

from __future__ import annotations

from hypothesis import strategies
import msgpack  # type: ignore[import-untyped]

from persimmonhinge import ids
from persimmonhinge.peers import frames
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.binary(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=5)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=10,
)
_KINDS = ("relay", "feed-open", "feed-ack", "load-query", "hello", "no-such")
_near_frames = strategies.tuples(
    strategies.sampled_from((0, 1, 1, 1, 1, 2)) | _VALUES,
    strategies.integers(0, 10) | _VALUES,
    strategies.integers(0, 4) | _VALUES,
    strategies.sampled_from(_KINDS) | _VALUES,
    strategies.lists(_VALUES, max_size=9) | _VALUES,
).map(msgpack.packb)

_writer = frames.FrameWriter()
_relay = relay.Relay(ids.ServiceName("s"), "127.0.0.1", 1, b"data")
_GOOD = (
    _writer.write(frames.FrameKind.SEND, 0, _relay),
    _writer.write(frames.FrameKind.CALL, 1, work.LoadQuery()),
    _writer.write(frames.FrameKind.PUSH, 1, feeds.FeedAck(1, ())),
    _writer.write(frames.FrameKind.CLOSE, 1),
    _writer.write(frames.FrameKind.PING, 0),
)
_good_frames = strategies.sampled_from(_GOOD)
_cut_frames = strategies.tuples(_good_frames, strategies.integers(0, 30)).map(
    lambda pair: pair[0][: pair[1]]
)
# Headers that announce more than follows.
_large_headers = strategies.sampled_from(
    (
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff",
        b"\xdb\x7f\xff\xff\xff",
        b"\xdf\x00\xff\xff\xff",
        b"\xc9\xff\xff\xff\xff\x01",
        b"\xdc\xff\xff" * 600,
        b"\x95" * 3000,
        b"\xd6\xff\x00\x00\x00\x00",
    )
)

octets = strategies.lists(
    _good_frames
    | _near_frames
    | _cut_frames
    | _large_headers
    | strategies.binary(max_size=60),
    max_size=6,
).map(b"".join)
