"""Tests of messages that no host of this release sends."""

from __future__ import annotations

import errno
import itertools
import socket
from typing import cast
import unittest
import zlib

import msgspec
import trio
import trio.testing

from persimmonhinge import errors
from persimmonhinge import records
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import service_demand
from persimmonhinge.forwarding import store_entry
from persimmonhinge.forwarding import upstream_load
from persimmonhinge.forwarding.peers import channel as channel_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import early_pull
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pull_attempt
from persimmonhinge.forwarding.peers import service
from persimmonhinge.forwarding.peers import snapshot_server
from persimmonhinge.platform import answers
from tests.standins import ports
from tests.support import trios
from tests.test_forwarding import hostile_scene
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_large_state as states
from tests.test_forwarding import test_forwarding_peers_reporter as reporters
from tests.test_forwarding import test_forwarding_peers_service as services

_REPORT = messages.Report("h-2", 1, 1, 100, "north", 1, 0, False, True, (), ())
_PEER = "10.0.0.2"
_DEPTH = 20_000


def make_deep(message: msgspec.Struct) -> bytes:
    """Returns a message with a further member that is nested deeply."""
    octets = msgspec.msgpack.encode(message)
    return bytes([octets[0] + 1]) + octets[1:] + b"\x91" * _DEPTH


def compress(octets: bytes) -> bytes:
    """Returns a compressed message."""
    return msgspec.msgpack.encode(
        messages.CompressedMessage(zlib.compress(octets))
    )


def count_failures(host: services.ReceivingHost) -> int:
    """Returns the number of inputs whose handling raised an error."""
    return host.core.counts.sum("input_failures_total")


def test_datagram_with_deep_member_does_not_end_the_process() -> None:
    """Guards against a RecursionError, which is no error of the decoder."""
    host = services.ReceivingHost()
    deep = make_deep(_REPORT)
    for octets in (deep, compress(deep), b"\x91" * _DEPTH):
        host.service.handle_datagram(octets, services.PEER_ADDRESS)
    assert host.core.counts.get("malformed_reports_total") == 3
    assert count_failures(host) == 0


def test_seed_with_deep_snapshot_does_not_end_the_start() -> None:
    """Guards against a host that can't start while a peer answers nonsense."""
    deep = make_deep(messages.Snapshot(1, True, (), ()))
    for answer in (deep, compress(deep)):
        with hosts.run_seed(answer) as port:
            core = hosts.make_core(port)
            assert not hosts.start_host(core)
        assert core.counts.get("snapshot_errors_total") == 1
        assert core.counts.sum("input_failures_total") == 0


@trios.clock_test
async def test_request_that_can_not_be_read_is_counted() -> None:
    core = hosts.make_core(7721)
    server = snapshot_server.SnapshotServer(core)
    for octets in (b"\xc1", b"\x91" * 64, b"\xdd\xff\xff\xff\xff"):
        async with trio.open_nursery() as nursery:
            ours, theirs = trio.testing.memory_stream_pair()
            nursery.start_soon(server.answer, theirs, _PEER)
            await ours.send_all(octets)
            await ours.send_eof()
    refused = core.counts.get("inputs_refused_total", source="snapshot-request")
    assert refused == 3
    assert core.counts.sum("input_failures_total") == 0


def test_snapshot_that_fails_later_is_recorded_and_the_host_goes_on() -> None:
    """Guards against a fault of this program that one snapshot makes fatal."""
    core = hosts.make_core(7721)

    def fail(snapshot: messages.Snapshot, source: str) -> None:
        raise TypeError("no snapshot")

    core.entries.apply_snapshot = fail  # type: ignore[method-assign]
    attempt = pull_attempt.PullAttempt(core, _PEER)
    attempt.apply_snapshot(messages.Snapshot(1, True, (), ()))
    assert core.counts.get("input_failures_total", source="snapshot") == 1


def test_peer_with_an_address_of_no_host_is_ignored() -> None:
    """Guards against addresses that end the process, or that are looked up."""
    host = services.ReceivingHost()
    for text in (
        *("a\0", "\ud800", "", "localhost", "1", "127.1", "10.0.0.2 x"),
        *("0.0.0.0", "0.1.2.3", "224.0.0.1", "255.255.255.255", "010.0.0.2"),
    ):
        host.core.peers.add(flow.Endpoint(text, 7), 1.0)
    for port in (0, -1, 65_536, 2**63):
        host.core.peers.add(flow.Endpoint("10.0.0.2", port), 1.0)
    assert host.core.peers.list_remote("north") == []


def test_seed_with_an_address_of_no_host_is_not_asked() -> None:
    """Guards against a start that waits for what no host answers.

    Seeds with names or a NUL are refused with the settings that hold them.
    """
    core = hosts.make_core(7721)
    for seed in ("0.0.0.0", "224.0.0.1", "255.255.255.255"):
        core.settings = records.replace(core.settings, seeds=(f"{seed}:7",))
        early_pull.pull_from_seeds(core)
    assert core.counts.get("snapshot_errors_total") == 0


def test_report_with_a_field_out_of_range_is_refused() -> None:
    """Guards against a silent host that is taken for alive, among others."""
    host = services.ReceivingHost()
    values = {
        "host": ("", "x" * 201),
        "domain": ("", "x" * 201),
        "interval_ms": (-1, 600_001, 2**63),
        "revision": (-1, 2**63, 2**64 - 1),
        "upstreams_revision": (-1, 2**63),
        "age_ms": (-2, 2**53, 2**64 - 1),
    }
    reports = [
        msgspec.structs.replace(_REPORT, **{field: value})
        for field, refused in values.items()
        for value in refused
    ]
    for report in reports:
        octets = msgspec.msgpack.encode(report)
        host.service.handle_datagram(octets, services.PEER_ADDRESS)
    assert host.core.peers.list_reporting() == []
    assert host.core.counts.get("malformed_reports_total") == len(reports)
    assert count_failures(host) == 0


def test_messages_at_all_revisions_of_the_store_are_used() -> None:
    """Guards against hosts that don't take what others read of the store."""
    for revision in (2**53, answers.MAX_NUMBER):
        host = services.ReceivingHost()
        report = msgspec.structs.replace(
            _REPORT, revision=revision, upstreams_revision=revision
        )
        octets = msgspec.msgpack.encode(report)
        host.service.handle_datagram(octets, services.PEER_ADDRESS)
        assert len(host.core.peers.list_reporting()) == 1
        entry = store_entry.StoreEntry("servers/a", b"", revision)
        snapshot = messages.Snapshot(revision, True, (entry,), (), True)
        octets = codec.SNAPSHOT_CODEC.encode(snapshot)
        assert codec.SNAPSHOT_CODEC.decode(octets) == snapshot


def test_items_out_of_range_are_omitted_and_the_rest_is_used() -> None:
    """Guards against a host that counts as dead for one value of its report."""
    host = services.ReceivingHost()
    loads = [upstream_load.UpstreamLoad(7, 3, 300)]
    for value in (-1, 2**32, 2**64 - 1):
        loads += [loads[0]._replace(**{f: value}) for f in loads[0]._fields]
    peers = [flow.Endpoint("10.0.0.3", 7), flow.Endpoint("127.1", 7)]
    report = msgspec.structs.replace(
        _REPORT, loads=tuple(loads), peers=tuple(peers)
    )
    octets = msgspec.msgpack.encode(report)
    host.service.handle_datagram(octets, services.PEER_ADDRESS)
    (peer,) = host.core.peers.list_reporting()
    assert peer.report is not None
    assert (list(peer.report.loads), list(peer.report.peers)) == (
        loads[:1],
        peers[:1],
    )
    assert host.core.loads.reported_in_flight(7) == 3
    assert host.core.counts.get("malformed_reports_total") == 1


def test_reports_of_earlier_and_later_releases_are_used() -> None:
    """Guards against hosts that seem dead while a deployment is upgraded."""
    octets = msgspec.msgpack.encode(_REPORT)
    members = msgspec.msgpack.decode(octets)
    members[10] = [[7, 1, 100, 0]]
    for changed in (members[:12], members[:13], [*members, [[1], {"a": 2}]]):
        host = services.ReceivingHost()
        host.service.handle_datagram(
            msgspec.msgpack.encode(changed), services.PEER_ADDRESS
        )
        assert host.core.loads.reported_in_flight(7) == 1


def test_report_with_very_many_items_takes_little_memory() -> None:
    host = services.ReceivingHost()
    loads = tuple(
        upstream_load.UpstreamLoad(token, 1, 100) for token in range(5_000)
    )
    report = msgspec.structs.replace(_REPORT, loads=loads)
    octets = msgspec.msgpack.encode(report)
    host.service.handle_datagram(octets, services.PEER_ADDRESS)
    (peer,) = host.core.peers.list_reporting()
    assert peer.report is not None and len(peer.report.loads) == 64


def test_what_others_report_can_always_be_sent_on() -> None:
    """Guards against values that others send and that this host can't encode.

    Its reports have the age of the newest confirmation, and the demand of its
    failure domain, and other hosts have to accept them.
    """
    line = service_demand.ServiceDemand(
        service_demand.hash_service(scenes.SERVICE), 2**32 - 1, 2**32 - 1
    )
    over = line._replace(own=2**64 - 1, domain=2**64 - 1)
    for fields in (
        {"age_ms": 2**64 - 1},
        {"age_ms": 10 * 365 * 86_400_000},
        {"demands": (line,)},
        {"demands": (over,)},
    ):
        scene = hostile_scene.HostileScene()
        report = msgspec.structs.replace(
            _REPORT, domain="north", revision=0, **fields
        )
        octets = msgspec.msgpack.encode(report)
        scene.service.handle_datagram(octets, services.PEER_ADDRESS)
        scene.decide()
        assert scene.run_reports()
        scene.check()


def test_entry_out_of_range_makes_the_message_unusable() -> None:
    """Guards against an entry that no later change of its key replaces."""
    host = services.ReceivingHost()
    for key, revision in (
        ("servers/a", 2**63),
        ("servers/a", -1),
        ("servers/" + "x" * 200, 5),
    ):
        entry = store_entry.StoreEntry(key, b"{}", revision)
        update = messages.EntryUpdate(0, 5, True, (entry,))
        octets = msgspec.msgpack.encode(update)
        host.service.handle_datagram(octets, services.PEER_ADDRESS)
        snapshot = messages.Snapshot(5, True, (entry,), ())
        try:
            codec.SNAPSHOT_CODEC.decode(msgspec.msgpack.encode(snapshot))
        except errors.MalformedMessageError as error:
            assert error.field.startswith("entries.")
        else:
            raise AssertionError("the snapshot was accepted")
    assert host.core.entries.revision == 0
    assert host.core.counts.get("malformed_reports_total") == 3


def test_reports_from_very_many_addresses_take_little_memory() -> None:
    """Guards against a table that grows with forged sources.

    A host that was only named gives way to one that reports.
    """
    host = services.ReceivingHost()
    octets = msgspec.msgpack.encode(_REPORT)
    named = flow.Endpoint("10.0.0.2", 7)
    host.core.peers.add(named, 0.0)
    for number in range(1_100):
        source = flow.Endpoint(f"10.1.{number >> 8}.{number & 255}", 7)
        host.service.handle_datagram(octets, source)
        host.core.peers.add(flow.Endpoint("10.0.0.3", 1 + number), 0.0)
    assert len(host.core.peers.list_reporting()) == 1_024
    assert len(host.core.peers.list_remote("")) == 1_024
    assert host.core.counts.get("malformed_reports_total") == 1_100 - 1_024
    assert count_failures(host) == 0


def test_report_from_an_address_of_no_other_host_is_refused() -> None:
    """Guards against reports to port 0, and to a host itself."""
    host = services.ReceivingHost()
    octets = msgspec.msgpack.encode(_REPORT)
    for source in (flow.Endpoint("10.0.0.2", 0), flow.Endpoint("127.0.0.1", 3)):
        host.service.handle_datagram(octets, source)
    assert host.core.peers.list_reporting() == []
    assert host.core.counts.get("malformed_reports_total") == 2


def test_short_datagram_does_not_become_a_message_of_megabytes() -> None:
    """Guards against a process that is killed for its memory."""
    host = services.ReceivingHost()
    entry = store_entry.StoreEntry("servers/a", None, 5)
    long_entry = entry._replace(value=bytes(1_200_000))
    for entries in ((entry,) * 65, (long_entry,)):
        update = messages.EntryUpdate(0, 5, True, entries)
        octets = compress(msgspec.msgpack.encode(update))
        host.service.handle_datagram(octets, services.PEER_ADDRESS)
    assert host.core.counts.get("malformed_reports_total") == 2
    assert host.core.entries.revision == 0
    long_entry = entry._replace(value=bytes(1_048_576))
    update = messages.EntryUpdate(0, 5, True, (long_entry, *(entry,) * 7))
    octets = compress(msgspec.msgpack.encode(update))
    host.service.handle_datagram(octets, services.PEER_ADDRESS)
    assert host.core.entries.revision == 5


@trios.clock_test
async def test_entries_that_can_not_be_sent_hold_back_no_others() -> None:
    """Guards against a follower of the store that ends at another's entry.

    Another writer may use any key, and the store any revision.
    """
    host = services.ReceivingHost()
    channel = reporters.RecordingChannel()
    bad, good = "servers/\ud800", readers.make_key("1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.service.send_updates, channel)
        states.apply_change(host.core, bad, b"{}", 4)
        states.apply_change(host.core, good, readers.make_entry(), 5)
        await trio.sleep(1.0)
        states.apply_change(host.core, good, readers.make_entry(), 2**64)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    sent = [
        msgspec.msgpack.decode(octets, type=messages.EntryUpdate)
        for octets in channel.octets
    ]
    assert [e.key for update in sent for e in update.entries] == [good]
    assert count_failures(host) == 0


@trios.clock_test
async def test_snapshot_omits_entries_that_can_not_be_sent() -> None:
    core = hosts.make_core(7721)
    good = readers.make_key("1")
    states.apply_change(core, "servers/\ud800", b"{}", 4)
    states.apply_change(core, good, readers.make_entry(), 5)
    server = snapshot_server.SnapshotServer(core)
    octets = bytearray()
    async with trio.open_nursery() as nursery:
        ours, theirs = trio.testing.memory_stream_pair()
        nursery.start_soon(answer, server, theirs)
        await ours.send_all(msgspec.msgpack.encode(messages.PullRequest(0)))
        async for data in ours:
            octets += data
    snapshot = codec.SNAPSHOT_CODEC.decode(octets)
    assert [entry.key for entry in snapshot.entries] == [good]


async def answer(
    server: snapshot_server.SnapshotServer, stream: trio.abc.Stream
) -> None:
    """Answers a request and closes the connection."""
    await server.answer(stream, _PEER)
    await stream.aclose()


@trios.trio_test
async def test_error_of_the_socket_of_reports_does_not_end_the_process() -> (
    None
):
    """Guards against a host that ends at, or spins on, errors of the kernel."""
    host = services.ReceivingHost()
    numbers = [errno.ENOBUFS, errno.EMSGSIZE, errno.EPERM, errno.ENETUNREACH]
    failing = FailingSocket(numbers)
    sender = channel_module.PeerChannel(
        cast("trio.socket.SocketType", failing), host.core.counts
    )
    await sender.send_all(b"x", [services.PEER_ADDRESS] * len(numbers))
    with trio.move_on_after(0.1):
        await host.service.receive(cast("trio.socket.SocketType", failing))
    calls = host.core.counts.get("report_errors_total")
    assert len(numbers) < calls < 3 * len(numbers)


@trios.trio_test
async def test_port_that_is_taken_ends_the_process_and_is_named() -> None:
    """Guards against a host that ends and doesn't say why."""
    for kind, module in (
        (socket.SOCK_DGRAM, service),
        (socket.SOCK_STREAM, snapshot_server),
    ):
        host = hostile_scene.HostileScene()
        settings = host.core.settings
        first = ports.find_tcp_port(settings.own_address)
        host.core.settings = records.replace(
            settings, peer_ports=(first, first + 1)
        )
        taken = first + (kind == socket.SOCK_STREAM)
        with socket.socket(type=kind) as other:
            other.bind((settings.own_address, taken))
            if kind == socket.SOCK_STREAM:
                other.listen()
            with unittest.TestCase().assertLogs(module.logger) as lines:
                try:
                    await host.service.run()
                except* OSError:
                    pass
        assert lines.records[0].__dict__["port"] == taken
        host.check()


class FailingSocket:
    """A socket whose every call fails with one error after the other."""

    def __init__(self, numbers: list[int]) -> None:
        self._numbers = itertools.cycle(numbers)

    async def sendto(self, octets: bytes, address: flow.Endpoint) -> None:
        """See `trio.socket.SocketType`."""
        await trio.lowlevel.checkpoint()
        raise OSError(next(self._numbers), "failed")

    async def recvfrom(self, max_octets: int) -> None:
        """See `trio.socket.SocketType`."""
        await trio.lowlevel.checkpoint()
        raise OSError(next(self._numbers), "failed")
