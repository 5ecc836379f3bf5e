"""Properties of the frame codec under any octets."""

from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgpack  # type: ignore[import-untyped]

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers import frames
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work
from tests.test_peers import hostile

_MESSAGES: strategies.SearchStrategy[base.Message] = strategies.one_of(
    strategies.builds(
        relay.Relay,
        service=strategies.text().map(ids.ServiceName),
        caller_host=strategies.text(),
        caller_port=strategies.integers(0, 65535),
        data=strategies.binary(),
    ),
    strategies.builds(
        work.Dispatched,
        outcome=strategies.sampled_from(work.Outcome),
        answer=strategies.binary(),
        retry_after_s=strategies.integers(0, 2**31),
        reason=strategies.text(),
        load=strategies.none()
        | strategies.builds(
            work.UpstreamLoad,
            upstream=strategies.text().map(ids.UpstreamId),
            slots=strategies.integers(0, 9),
            busy=strategies.integers(0, 9),
            queued=strategies.integers(0, 9),
            feeds=strategies.integers(0, 9),
        ),
    ),
    strategies.builds(
        feeds.FeedAck,
        sequence=strategies.integers(0, 2**24),
        recent=strategies.lists(strategies.binary(), max_size=5).map(tuple),
    ),
)


def _cut(data: bytes, sizes: list[int]) -> list[bytes]:
    """Cuts octets into chunks of these sizes, repeated."""
    chunks: list[bytes] = []
    while data:
        size = sizes[len(chunks) % len(sizes)]
        chunks.append(data[:size])
        data = data[size:]
    return chunks


def _read_all(chunks: list[bytes]) -> list[frames.Frame]:
    reader = frames.FrameReader("peer")
    return [frame for chunk in chunks for frame in reader.read(chunk)]


@hypothesis.given(
    messages=strategies.lists(_MESSAGES, max_size=8),
    sizes=strategies.lists(strategies.integers(1, 50), min_size=1),
)
def test_messages_come_back_however_the_stream_is_cut(
    messages: list[base.Message], sizes: list[int]
) -> None:
    writer = frames.FrameWriter()
    kind = frames.FrameKind.CALL
    octets = b"".join(
        writer.write(kind, call, message)
        for call, message in enumerate(messages)
    )
    found = _read_all(_cut(octets, sizes))
    assert [frame.call for frame in found] == list(range(len(messages)))
    assert [frames.read_message(f, "peer") for f in found] == messages


@hypothesis.settings(max_examples=300)
@hypothesis.given(octets=hostile.octets)
def test_any_octets_are_frames_or_one_kind_of_error(octets: bytes) -> None:
    try:
        for frame in _read_all([octets]):
            frames.read_message(frame, "peer")
    except errors.PeerProtocolError as error:
        assert error.peer == "peer"
        assert error.step in ("read frame", "read message")


def test_endless_frame_of_small_items_is_refused() -> None:
    """A peer opens an array and sends small items for ever.

    Each is parsed as it comes, so that the unpacker's own limit, which counts
    what is not parsed yet, never applies, and the memory fills.
    """
    reader = frames.FrameReader("peer", most_octets=100_000)
    nested = msgpack.packb([[b""] * 10] * 100)
    list(reader.read(b"\xdd\x00\x00\xff\xff"))
    try:
        for _ in range(10_000):
            list(reader.read(nested))
    except frames.MalformedFrameError as error:
        assert error.cause is frames.MalformedCause.SIZE
        return
    raise AssertionError("the frame was read on")


def test_message_that_is_too_large_is_refused_before_it_is_sent() -> None:
    body = b"x" * frames.MAX_FRAME_OCTETS
    try:
        frames.FrameWriter().write(
            frames.FrameKind.CALL, 1, feeds.FeedEvent(1, body)
        )
    except frames.MalformedFrameError as error:
        assert error.cause is frames.MalformedCause.SIZE
        return
    raise AssertionError("the message was written")


def test_fields_of_a_newer_version_are_passed_over() -> None:
    packed = msgpack.packb(
        [1, 2, 7, "feed-ack", [4, [b"d"], 3, "newer", {"a": 1}], "newer"]
    )
    (frame,) = _read_all([packed])
    message = frames.read_message(frame, "peer")
    assert message == feeds.FeedAck(4, (b"d",), 3)


def test_text_is_not_taken_for_octets() -> None:
    packed = msgpack.packb([1, 2, 7, "feed-ack", [4, ["aGk="]]])
    (frame,) = _read_all([packed])
    try:
        frames.read_message(frame, "peer")
    except frames.MalformedFrameError as error:
        assert error.cause is frames.MalformedCause.BODY
        return
    raise AssertionError("text was taken for octets")
