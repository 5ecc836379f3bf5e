"""Measures relayed messages between two hosts over loopback.

Run it with `python -m benchmarks.peers`. Both hosts are in this process, so
that a figure is the cost of sending and of receiving together. The floor is
the same octets over a bare trio stream in the same run, with a write for each
message or with full writes, plus the codec alone. The ratio to it is what to
improve.
"""

from __future__ import annotations

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import statistics
import time

import trio

from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as metrics
from persimmonhinge.peers import frames
from persimmonhinge.peers import network
from persimmonhinge.peers import outbox
from persimmonhinge.peers import streams
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work
from persimmonhinge.settings import entry as settings_entry

_ADDRESS = "127.0.0.1"
_NEAR = ids.HostId("near")
_FAR = ids.HostId("far")
# Messages sent and not yet received; below the length of the queue.
_WINDOW = 4000
# Messages that one turn of the packet path hands over.
_BURST = 100
_LIMIT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Options:
    """What to measure.

    Attributes:
        messages: Messages in one run.
        payload: Octets of one datagram.
        rounds: Runs of each kind; the median is printed.
    """

    messages: int
    payload: int
    rounds: int


class _Progress:
    """Counts what arrived and wakes the sender."""

    def __init__(self) -> None:
        self.arrived = 0
        self.changed = trio.Event()

    def note(self, number: int = 1) -> None:
        """Counts messages that arrived."""
        self.arrived += number
        self.changed.set()

    async def wait(self, number: int) -> None:
        """Returns once so many messages arrived."""
        while self.arrived < number:
            self.changed = trio.Event()
            await self.changed.wait()


def _make_settings(host: ids.HostId) -> settings_entry.EntrySettings:
    return settings_entry.EntrySettings.model_validate(
        {
            "host": host,
            "domain": "hall",
            "peers": {"port": 0, "heartbeat_port": 0},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )


def _make_member(host: ids.HostId, port: int = 0) -> members.Member:
    domain = ids.DomainId("hall")
    incarnation = ids.Incarnation(1)
    return members.Member(host, domain, _ADDRESS, port, 0, incarnation)


def _make_network(
    host: ids.HostId, batch_octets: int = outbox.BATCH_OCTETS
) -> tuple[streams.StreamNetwork, views.View]:
    view = views.View(_make_member(host))
    settings = _make_settings(host)
    counts = metrics.Counts()
    found = streams.StreamNetwork(
        settings, view, counts, batch_octets=batch_octets
    )
    return found, view


def _make_relay(options: Options) -> relay.Relay:
    return relay.Relay(
        ids.ServiceName("floor-trading"),
        _ADDRESS,
        40_000,
        b"x" * options.payload,
    )


async def _measure_relay(
    options: Options, *, batch_octets: int, in_tasks: bool
) -> float:
    """Returns relayed messages a second."""
    near, view = _make_network(_NEAR, batch_octets)
    far, _ = _make_network(_FAR)
    progress = _Progress()

    async def handle(caller: network.Caller, message: relay.Relay) -> None:
        progress.note()

    if in_tasks:
        far.handle(relay.Relay, handle)
    else:
        far.handle_sent(relay.Relay, lambda host, message: progress.note())
    message = _make_relay(options)
    async with trio.open_nursery() as nursery:
        await nursery.start(near.run)
        await nursery.start(far.run)
        view.put(_make_member(_FAR, far.port))
        near.send(_FAR, message)
        await progress.wait(1)
        began = time.perf_counter()
        for number in range(1, options.messages, _BURST):
            for _ in range(_BURST):
                near.send(_FAR, message)
            await progress.wait(number - _WINDOW)
            await trio.lowlevel.checkpoint()
        await progress.wait(options.messages)
        elapsed_s = time.perf_counter() - began
        nursery.cancel_scope.cancel()
    return options.messages / elapsed_s


async def _measure_floor(options: Options, *, write_octets: int) -> float:
    """Returns messages a second of a bare stream with the same octets."""
    octets = _measure_frame(options)
    in_write = max(1, write_octets // octets)
    data = b"x" * (octets * in_write)
    listeners = await trio.open_tcp_listeners(0, host=_ADDRESS)
    port = listeners[0].socket.getsockname()[1]
    done = trio.Event()

    async def receive(stream: trio.SocketStream) -> None:
        arrived = 0
        while arrived < octets * options.messages:
            arrived += len(await stream.receive_some(65_536))
        done.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, receive, listeners)
        stream = await trio.open_tcp_stream(_ADDRESS, port)
        began = time.perf_counter()
        for _ in range(0, options.messages, in_write):
            await stream.send_all(data)
        await done.wait()
        elapsed_s = time.perf_counter() - began
        nursery.cancel_scope.cancel()
    return options.messages / elapsed_s


async def _measure_codec(options: Options) -> float:
    """Returns messages a second that are only written and read in memory."""
    kind = frames.FrameKind.SEND
    message = _make_relay(options)
    writer = frames.FrameWriter()
    reader = frames.FrameReader(_NEAR)
    in_write = max(1, outbox.BATCH_OCTETS // _measure_frame(options))
    began = time.perf_counter()
    for _ in range(0, options.messages, in_write):
        chunk = [writer.write(kind, 0, message) for _ in range(in_write)]
        for frame in reader.read(b"".join(chunk)):
            frames.read_message(frame, _NEAR)
    return options.messages / (time.perf_counter() - began)


async def _measure_echo(options: Options) -> float:
    """Returns exchanges a second over a bare stream, one at a time."""
    number = options.messages // 10
    listeners = await trio.open_tcp_listeners(0, host=_ADDRESS)
    port = listeners[0].socket.getsockname()[1]

    async def serve(stream: trio.SocketStream) -> None:
        async for data in stream:
            await stream.send_all(data)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        stream = await trio.open_tcp_stream(_ADDRESS, port)
        began = time.perf_counter()
        for _ in range(number):
            await stream.send_all(b"call")
            await stream.receive_some(100)
        elapsed_s = time.perf_counter() - began
        nursery.cancel_scope.cancel()
    return number / elapsed_s


async def _measure_calls(options: Options, *, at_a_time: int) -> float:
    """Returns answered calls a second."""
    near, view = _make_network(_NEAR)
    far, _ = _make_network(_FAR)
    number = options.messages // 10

    async def handle(
        caller: network.Caller, message: work.LoadQuery
    ) -> work.LoadReport:
        return work.LoadReport(())

    async def call(times: int) -> None:
        for _ in range(times):
            await near.call(_FAR, work.LoadQuery(), _LIMIT_S)

    far.handle(work.LoadQuery, handle)
    async with trio.open_nursery() as nursery:
        await nursery.start(near.run)
        await nursery.start(far.run)
        view.put(_make_member(_FAR, far.port))
        await call(1)
        began = time.perf_counter()
        async with trio.open_nursery() as callers:
            for _ in range(at_a_time):
                callers.start_soon(call, number // at_a_time)
        elapsed_s = time.perf_counter() - began
        nursery.cancel_scope.cancel()
    return number / elapsed_s


def _measure_frame(options: Options) -> int:
    kind = frames.FrameKind.SEND
    return len(frames.FrameWriter().write(kind, 0, _make_relay(options)))


def _take_median(
    options: Options, measure: Callable[[], Awaitable[float]]
) -> float:
    async def run() -> float:
        return await measure()

    return statistics.median(trio.run(run) for _ in range(options.rounds))


def _print_rate(name: str, rate: float, floor: float | None = None) -> None:
    ratio = "" if floor is None else f"{rate / floor:8.2f} of the floor"
    print(f"{name:44}{rate:12,.0f}/s{1e6 / rate:9.2f} us{ratio}")


def _measure_relays(options: Options) -> None:
    batch = outbox.BATCH_OCTETS
    alone = _take_median(
        options, lambda: _measure_floor(options, write_octets=1)
    )
    full = _take_median(
        options, lambda: _measure_floor(options, write_octets=batch)
    )
    codec = _take_median(options, lambda: _measure_codec(options))
    _print_rate("bare stream, a write for each", alone)
    _print_rate("bare stream, full writes", full)
    _print_rate("codec in memory", codec)
    alone_floor = 1 / (1 / alone + 1 / codec)
    full_floor = 1 / (1 / full + 1 / codec)
    rate = _take_median(
        options,
        lambda: _measure_relay(options, batch_octets=1, in_tasks=False),
    )
    _print_rate("relay, a write for each", rate, alone_floor)
    rate = _take_median(
        options,
        lambda: _measure_relay(options, batch_octets=batch, in_tasks=False),
    )
    _print_rate("relay, joined writes", rate, full_floor)
    rate = _take_median(
        options,
        lambda: _measure_relay(options, batch_octets=batch, in_tasks=True),
    )
    _print_rate("relay, joined writes, a task for each", rate, full_floor)


def _measure_all_calls(options: Options) -> None:
    floor = _take_median(options, lambda: _measure_echo(options))
    _print_rate("bare stream, exchange, 1 at a time", floor)
    rate = _take_median(options, lambda: _measure_calls(options, at_a_time=1))
    _print_rate("calls, 1 at a time", rate, floor)
    rate = _take_median(options, lambda: _measure_calls(options, at_a_time=64))
    _print_rate("calls, 64 at a time", rate, floor)


def main() -> None:
    """Reads the command line, measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--messages", type=int, default=50_000)
    parser.add_argument("--payload", type=int, default=100, help="octets")
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    options = Options(arguments.messages, arguments.payload, arguments.rounds)
    print(
        f"{options.messages} messages of {options.payload} octets, "
        f"{_measure_frame(options)} as a frame; median of {options.rounds}"
    )
    _measure_relays(options)
    _measure_all_calls(options)


if __name__ == "__main__":
    main()
