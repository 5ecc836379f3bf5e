"""Tests of heartbeat datagrams: authentication, versions, invalid input."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies
import msgspec

from persimmonhinge.membership import codec as codec_module
from persimmonhinge.membership import gossip as gossip_module
from persimmonhinge.membership import messages
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import table as table_module
from tests.test_membership import test_membership_record

_REPEATABLE = hypothesis.settings(deadline=None, derandomize=True)
_SECRET = b"correct horse"
_RECORD = test_membership_record.make_record()
_HEARTBEAT = codec_module.Heartbeat(_RECORD, (_RECORD,), messages.Ping(7))


def find_cause(
    codec: codec_module.DatagramCodec, data: bytes
) -> codec_module.RefusalCause | None:
    try:
        codec.decode(data)
    except codec_module.RefusedDatagramError as error:
        return error.cause
    return None


def test_heartbeat_round_trip() -> None:
    for codec in (
        codec_module.DatagramCodec(None),
        codec_module.DatagramCodec(_SECRET),
    ):
        assert codec.decode(codec.encode(_HEARTBEAT)) == _HEARTBEAT


def test_other_secrets_are_refused() -> None:
    signed = codec_module.DatagramCodec(_SECRET)
    plain = codec_module.DatagramCodec(None)
    data = signed.encode(_HEARTBEAT)
    forged = codec_module.DatagramCodec(b"other").encode(_HEARTBEAT)
    cause = codec_module.RefusalCause
    assert find_cause(signed, forged) is cause.BAD_SIGNATURE
    assert find_cause(signed, plain.encode(_HEARTBEAT)) is cause.UNSIGNED
    assert find_cause(plain, data) is cause.MALFORMED
    assert find_cause(signed, data + bytes(2000)) is cause.TOO_LONG


def test_newer_versions_are_tolerated() -> None:
    """Guards against older hosts refusing the datagrams of a newer version.

    A newer version may append fields to records and messages and may send
    unknown message kinds.
    """
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(_RECORD))
    packed = [[*body, "new"], [[*body, "new"]], [7, "new"], "new"]
    for kind, message in (("hb-ping", messages.Ping(7)), ("hb-new", None)):
        data = b"\x01" + msgspec.msgpack.encode([kind, *packed])
        heartbeat = codec_module.DatagramCodec(None).decode(data)
        assert heartbeat == codec_module.Heartbeat(_RECORD, (_RECORD,), message)


@_REPEATABLE
@hypothesis.given(strategies.binary(max_size=1500))
def test_random_datagrams_are_refused(data: bytes) -> None:
    assert find_cause(codec_module.DatagramCodec(_SECRET), data) is not None
    assert find_cause(codec_module.DatagramCodec(None), data) is not None


@_REPEATABLE
@hypothesis.given(
    strategies.integers(0, 200), strategies.integers(0, 255), strategies.data()
)
def test_damaged_datagrams_raise_nothing_else(
    place: int, octet: int, data: strategies.DataObject
) -> None:
    codec = codec_module.DatagramCodec(None)
    damaged = bytearray(codec.encode(_HEARTBEAT))
    damaged[place % len(damaged)] = octet
    length = data.draw(strategies.integers(0, len(damaged)))
    find_cause(codec, bytes(damaged[:length]))


def test_records_out_of_range_are_refused() -> None:
    body = msgspec.msgpack.decode(msgspec.msgpack.encode(_RECORD))
    invalid = ["", "x" * 64, b"\x0a", 70_000, -1, 2**53, -1, 9, -1]
    for index, value in enumerate(invalid):
        sender = [*body[:index], value, *body[index + 1 :]]
        data = b"\x01" + msgspec.msgpack.encode(["hb-ping", sender, [], [1]])
        cause = find_cause(codec_module.DatagramCodec(None), data)
        assert cause is codec_module.RefusalCause.MALFORMED


@_REPEATABLE
@hypothesis.given(strategies.integers(1, 200), strategies.integers(0, 100))
def test_gossip_is_bounded_and_complete(
    count: int, recipient_number: int
) -> None:
    codec = codec_module.DatagramCodec(_SECRET)
    table = table_module.Table(100.0, lambda: 0.0)
    times = itertools.count()
    gossip = gossip_module.Gossip(
        table, codec.measure_record, lambda: next(times)
    )
    for number in range(count):
        record = test_membership_record.make_record(
            f"host-{number}", claim=record_module.Claim(number % 4)
        )
        table.merge_record(record)
        gossip.add(record.host)
    target = test_membership_record.make_record(f"host-{recipient_number}").host
    sent_hosts = set()
    for _ in range(40 * count):
        other_records = gossip.choose_records(recipient=target)
        heartbeat = codec_module.Heartbeat(
            _RECORD, other_records, messages.Ping(1)
        )
        size = len(codec.encode(heartbeat))
        assert size <= codec_module.MAX_DATAGRAM_OCTETS / 2
        sent_hosts |= {other.host for other in other_records}
    assert not len(gossip)
    assert sent_hosts | {target} >= {record.host for record in table.all()}


def test_a_suspicion_does_not_wait_behind_hosts_that_started() -> None:
    """Guards against delayed failure detection in a large fleet.

    If hundreds of hosts have just started, a suspicion queued behind their
    updates reaches some hosts only seconds later.
    """
    codec = codec_module.DatagramCodec(None)
    table = table_module.Table(100.0, lambda: 0.0)
    times = itertools.count()
    gossip = gossip_module.Gossip(
        table, codec.measure_record, lambda: next(times)
    )
    suspect = test_membership_record.make_record(
        claim=record_module.Claim.SUSPECT
    )
    for number in range(300):
        record = test_membership_record.make_record(f"new-{number}")
        table.merge_record(record)
        gossip.add(record.host)
    table.merge_record(suspect)
    gossip.add(suspect.host)
    assert all(
        suspect in gossip.choose_records(recipient=None) for _ in range(10)
    )
