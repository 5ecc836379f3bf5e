"""Heartbeat datagrams: authentication, newer versions, hostile input."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge.membership import codec as codecs
from persimmonhinge.membership import gossip as gossips
from persimmonhinge.membership import messages
from persimmonhinge.membership import record as records
from persimmonhinge.membership import table as tables
from tests.test_membership import test_membership_record

_REPEATABLE = hypothesis.settings(deadline=None, derandomize=True)
_SECRET = b"correct horse"
_RECORD = test_membership_record.make_record()
_LETTER = codecs.Letter(_RECORD, (_RECORD,), messages.Ping(7))


def find_cause(
    codec: codecs.DatagramCodec, data: bytes
) -> codecs.RefusalCause | None:
    try:
        codec.decode(data)
    except codecs.RefusedDatagramError as error:
        return error.cause
    return None


def test_a_letter_comes_back_as_it_was() -> None:
    for codec in (codecs.DatagramCodec(None), codecs.DatagramCodec(_SECRET)):
        assert codec.decode(codec.encode(_LETTER)) == _LETTER


def test_other_secrets_are_refused() -> None:
    signed = codecs.DatagramCodec(_SECRET)
    plain = codecs.DatagramCodec(None)
    data = signed.encode(_LETTER)
    forged = codecs.DatagramCodec(b"other").encode(_LETTER)
    cause = codecs.RefusalCause
    assert find_cause(signed, forged) is cause.BAD_SIGNATURE
    assert find_cause(signed, plain.encode(_LETTER)) is cause.UNSIGNED
    assert find_cause(plain, data) is cause.MALFORMED
    assert find_cause(signed, data + bytes(2000)) is cause.TOO_LONG


def test_newer_versions_are_tolerated() -> None:
    """A host of a newer version was dropped by all older ones."""
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(_RECORD))
    packed = [[*body, "new"], [[*body, "new"]], [7, "new"], "new"]
    for kind, message in (("hb-ping", messages.Ping(7)), ("hb-new", None)):
        data = b"\x01" + msgspec.msgpack.encode([kind, *packed])
        letter = codecs.DatagramCodec(None).decode(data)
        assert letter == codecs.Letter(_RECORD, (_RECORD,), message)


@_REPEATABLE
@hypothesis.given(strategies.binary(max_size=1500))
def test_random_datagrams_are_refused(data: bytes) -> None:
    assert find_cause(codecs.DatagramCodec(_SECRET), data) is not None
    assert find_cause(codecs.DatagramCodec(None), data) is not None


@_REPEATABLE
@hypothesis.given(
    strategies.integers(0, 200), strategies.integers(0, 255), strategies.data()
)
def test_damaged_datagrams_raise_nothing_else(
    place: int, octet: int, data: strategies.DataObject
) -> None:
    codec = codecs.DatagramCodec(None)
    damaged = bytearray(codec.encode(_LETTER))
    damaged[place % len(damaged)] = octet
    length = data.draw(strategies.integers(0, len(damaged)))
    find_cause(codec, bytes(damaged[:length]))


def test_records_out_of_range_are_refused() -> None:
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(_RECORD))
    wrong = ["", "x" * 64, b"\x0a", 70_000, -1, 2**53, -1, 9, -1]
    for place, value in enumerate(wrong):
        sender = [*body[:place], value, *body[place + 1 :]]
        data = b"\x01" + msgspec.msgpack.encode(["hb-ping", sender, [], [1]])
        cause = find_cause(codecs.DatagramCodec(None), data)
        assert cause is codecs.RefusalCause.MALFORMED


@_REPEATABLE
@hypothesis.given(strategies.integers(1, 200), strategies.integers(0, 100))
def test_gossip_is_bounded_and_complete(count: int, about: int) -> None:
    codec = codecs.DatagramCodec(_SECRET)
    table = tables.Table(100.0, lambda: 0.0)
    times = itertools.count()
    gossip = gossips.Gossip(table, codec.measure, lambda: next(times))
    for number in range(count):
        record = test_membership_record.make_record(
            f"host-{number}", claim=records.Claim(number % 4)
        )
        table.offer(record)
        gossip.add(record.host)
    target = test_membership_record.make_record(f"host-{about}").host
    told = set()
    for _ in range(40 * count):
        rumors = gossip.take(about=target)
        letter = codecs.Letter(_RECORD, rumors, messages.Ping(1))
        size = len(codec.encode(letter))
        assert size <= codecs.MAX_DATAGRAM_OCTETS / 2
        told |= {rumor.host for rumor in rumors}
    assert not len(gossip)
    assert told | {target} >= {record.host for record in table.all()}


def test_a_suspicion_does_not_wait_behind_hosts_that_started() -> None:
    """A dead host was noticed seconds later on the far side of a big fleet.

    Hundreds of hosts had just started, and the suspicion queued behind them.
    """
    codec = codecs.DatagramCodec(None)
    table = tables.Table(100.0, lambda: 0.0)
    times = itertools.count()
    gossip = gossips.Gossip(table, codec.measure, lambda: next(times))
    suspect = test_membership_record.make_record(claim=records.Claim.SUSPECT)
    for number in range(300):
        record = test_membership_record.make_record(f"new-{number}")
        table.offer(record)
        gossip.add(record.host)
    table.offer(suspect)
    gossip.add(suspect.host)
    assert all(suspect in gossip.take(about=None) for _ in range(10))
