"""Tests of random packets, with random knowledge, through a host's socket."""

from __future__ import annotations

import contextlib
import socket

import hypothesis
from hypothesis import strategies

from persimmonhinge import records
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import upstream as upstream_module
from persimmonhinge.platform import header
from tests.test_forwarding import admission_scene
from tests.test_forwarding import scene as scenes
from tests.test_forwarding import test_forwarding_admission_wiring as wiring

_U32 = strategies.integers(0, 0xFFFFFFFF)
# Nothing is sent beyond this machine: the socket is bound to loopback, and the
# kernel refuses the other addresses (unspecified, broadcast, reserved).
_CALLERS = strategies.sampled_from(
    (0x7F000001, 0x7FFFFFFE, 0, 2**32 - 1, 15 << 28)
)
_ADDRESS = strategies.just(scenes.ADDRESS)
_FLAGS = strategies.one_of(
    strategies.sampled_from((scenes.SYN, scenes.ACK, scenes.FIN, scenes.RST)),
    strategies.integers(0, 255),
)
_PORTS = strategies.sampled_from((0, 1, scenes.PORT, scenes.OTHER_PORT, 0xFFFF))
_SERVICE_PORTS = strategies.one_of(strategies.just(scenes.PORT), _PORTS)
_UPSTREAMS = tuple(
    records.replace(
        scenes.make_upstream(number, state=state),
        address=flow.Endpoint("127.0.0.1", port),
    )
    for number, (state, port) in enumerate(
        (state, port)
        for state in upstream_module.UpstreamState
        for port in (0, 9, 0xFFFF)
    )
)
_TOKENS = strategies.one_of(
    strategies.sampled_from([each.token for each in _UPSTREAMS]), _U32
)


def _pack(*fields: int | bytes) -> bytes:
    data = fields[-1]
    assert isinstance(data, bytes)
    length = min(len(data), header.MOST_DATA_OCTETS)
    head = header.HEAD.pack(*fields[:6], length, *fields[6:-1])
    return head + data


_PACKETS = strategies.builds(
    _pack,
    _TOKENS,
    _U32,
    strategies.one_of(strategies.integers(0, 3), _U32),
    _FLAGS,
    strategies.binary(min_size=5, max_size=5),
    _U32,
    _SERVICE_PORTS,
    _CALLERS,
    strategies.one_of(_ADDRESS, _ADDRESS, _U32),
    _PORTS,
    strategies.one_of(
        strategies.binary(max_size=4),
        strategies.sampled_from((bytes(1200), bytes(1201))),
    ),
)
_MUTATED = strategies.builds(
    lambda packet, at, octets: packet[:at] + octets + packet[at + 1 :],
    _PACKETS,
    strategies.integers(0, 40),
    strategies.binary(max_size=2),
)
_DATAGRAMS = strategies.one_of(
    _PACKETS, _PACKETS, _PACKETS, _MUTATED, strategies.binary(max_size=80)
)
# Datagrams, and numbers that stand for changes of the knowledge.
_STEPS = strategies.lists(
    strategies.one_of(_DATAGRAMS, _DATAGRAMS, strategies.integers(0, 20)),
    min_size=30,
    max_size=80,
)


def _change_knowledge(core: cores.ForwardCore, number: int, step: int) -> None:
    """Makes one change of what a host knows, or lets time-outs pass."""
    knowledge = core.knowledge
    upstream = _UPSTREAMS[number % len(_UPSTREAMS)]
    match number % 7:
        case 0:
            knowledge.apply_upstream(upstream, 0.0, "test")
        case 1:
            knowledge.record_missing_entry(upstream.id, 0.0, "test")
        case 2:
            knowledge.confirm(1e12)
            knowledge.store_trust.record_answer(0.0)
        case 3:
            core.tracker.remove_expired(-1.0)
        case 4:
            core.forwarder.retry_openings(core.openings.pop_due(1e12))
        case 5:
            core.forwarder.release_waiting_flows()
        case 6:
            assert knowledge.state is not None
            state = records.replace(
                knowledge.state,
                version=knowledge.state.version + 1,
                routes={} if step % 2 else dict(knowledge.state.routes),
            )
            knowledge.apply_state(state, "test")


def _play(steps: list[bytes | int], admission: str) -> None:
    sources = admission_scene.Sources(share=0.5)
    with contextlib.ExitStack() as stack:
        core = stack.enter_context(wiring.run_core(sources, admission))
        sender = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
        address = core.socket.socket.getsockname()
        for number, each in enumerate(steps):
            if isinstance(each, int):
                _change_knowledge(core, each, number)
                continue
            sender.sendto(each, address)
            # Resets to the host's own address come back to it.
            assert core.receive_batch() >= 1
        assert core.counts.sum("input_failures_total") == 0
        assert core.counts.sum("receive_errors_total") == 0


@hypothesis.settings(max_examples=40)
@hypothesis.given(_STEPS)
def test_no_packet_raises_an_error(steps: list[bytes | int]) -> None:
    """Guards against one packet of a caller that ends the host."""
    _play(steps, "open")


@hypothesis.settings(max_examples=40)
@hypothesis.given(_STEPS)
def test_no_packet_raises_an_error_with_admission(
    steps: list[bytes | int],
) -> None:
    """Guards against one packet of a caller that ends the host."""
    _play(steps, "by-priority")
