"""Tests of the codec of messages between hosts."""

from __future__ import annotations

import zlib

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge import errors
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding.peers import codec as codec_module
from persimmonhinge.forwarding.peers import messages

_ROUTES = 45
_DOMAIN_HOSTS = 24
# Capacity of a slow link, octets per second.
_SLOW_LINK_OCTETS_PER_S = 5_000_000 / 8


def make_codec() -> codec_module.MessageCodec[
    messages.Report | messages.EntryUpdate
]:
    return codec_module.MessageCodec(messages.Report | messages.EntryUpdate)


def is_refused(octets: bytes) -> bool:
    """Returns whether decoding octets fails with the documented error."""
    try:
        make_codec().decode(octets)
    except errors.MalformedMessageError:
        return True
    return False


def make_update(value: bytes) -> messages.EntryUpdate:
    line = store_entry.StoreEntry("routes/state", value, 7)
    return messages.EntryUpdate(6, 7, True, (line,))


def make_state() -> bytes:
    """Returns a desired state as long as that of the largest deployment."""
    routes = [
        {
            "Id": f"r-{number * 7919 % 99991:07d}",
            "Host": f"198.18.0.{number}",
            "Prefix": f"/{8000 + number}/",
            "Service": "loda60a" if number % 3 else "dewu54b",
            "Kind": "idempotent" if number % 2 else "non_idempotent",
            "TimeoutMs": 2000 + 500 * (number % 4),
            "AimMs": 120 + number % 7,
            "Priority": number % 3,
            "Attempts": 2,
        }
        for number in range(_ROUTES)
    ]
    return msgspec.json.encode({"Version": 51, "Routes": routes})


def test_changed_state_does_not_fill_the_link_of_the_host_that_tells_it() -> (
    None
):
    """Guards against a host that suspects all upstreams when routes change.

    The host follows the store for 24 others and sends each of them the desired
    state, one after the other, over a link of 5 Mbit/s. Packets of callers
    queue behind it for 0.3 s, so every opening packet seems to be unanswered.
    """
    octets = make_codec().encode(make_update(make_state()))
    assert _DOMAIN_HOSTS * len(octets) / _SLOW_LINK_OCTETS_PER_S < 0.1


@hypothesis.given(strategies.binary(max_size=5_000))
def test_messages_are_read_as_they_were_written(value: bytes) -> None:
    codec = make_codec()
    assert codec.decode(codec.encode(make_update(value))) == make_update(value)


def test_short_messages_are_not_compressed() -> None:
    octets = make_codec().encode(make_update(bytes(900)))
    assert octets == msgspec.msgpack.encode(make_update(bytes(900)))


@hypothesis.given(strategies.binary(max_size=200))
def test_what_is_not_compressed_data_is_an_error(octets: bytes) -> None:
    compressed = msgspec.msgpack.encode(messages.CompressedMessage(octets))
    assert is_refused(compressed)


def test_data_that_are_cut_short_are_an_error() -> None:
    octets = zlib.compress(msgspec.msgpack.encode(make_update(make_state())))
    compressed = msgspec.msgpack.encode(messages.CompressedMessage(octets[:-1]))
    assert is_refused(compressed)


def test_few_octets_that_stand_for_very_many_are_an_error() -> None:
    """Guards against a datagram of 50 kB that exhausts a host's memory.

    Decompressed without a limit, it takes 50 MB and terminates the host.
    """
    compressed = msgspec.msgpack.encode(
        messages.CompressedMessage(zlib.compress(bytes(50_000_000)))
    )
    assert is_refused(compressed)


def test_message_in_a_message_in_a_message_is_an_error() -> None:
    inner = messages.CompressedMessage(
        zlib.compress(msgspec.msgpack.encode(make_update(b"")))
    )
    octets = zlib.compress(msgspec.msgpack.encode(inner))
    compressed = msgspec.msgpack.encode(messages.CompressedMessage(octets))
    assert is_refused(compressed)
