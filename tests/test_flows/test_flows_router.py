"""Tests of the routing of datagrams to hosts."""

from __future__ import annotations

import dataclasses

from aiocoap.numbers import codes
from aiocoap.numbers import types

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.flows import router as router_module
from persimmonhinge.flows import tickets
from persimmonhinge.keys import store
from persimmonhinge.membership import member
from persimmonhinge.membership import placement
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import relay
from tests.test_flows import home_fakes

_LEAVING = ids.HostId("entry-8")


class FakeNetwork:
    """Records the messages that are sent to other hosts.

    Attributes:
        sent: Pairs of receiving host and message, in order.
    """

    def __init__(self) -> None:
        self.sent: list[tuple[ids.HostId, base.Message]] = []

    def handle_sent(self, *_: object) -> None:
        """Ignores the handler: no other host sends messages."""

    def send(self, host: ids.HostId, message: base.Message) -> bool:
        """Records a message."""
        self.sent.append((host, message))
        return True


class FakeHome:
    """Records the messages of flows whose home is this host."""

    def __init__(self) -> None:
        self.handled: list[codec.Message] = []

    def handle(self, flow: port.Flow, message: codec.Message) -> None:
        """Records a message."""
        self.handled.append(message)


def _route(message: codec.Message) -> tuple[FakeNetwork, FakeHome]:
    """Routes a datagram at a host whose only peer is leaving."""
    view = view_module.View(home_fakes.make_member(home_fakes.ME))
    leaving = home_fakes.make_member(_LEAVING)
    view.put(dataclasses.replace(leaving, state=member.MemberState.LEAVING))
    network, home = FakeNetwork(), FakeHome()
    router = router_module.Router(
        view,
        placement.Placement(view),
        tickets.TicketMint(home_fakes.make_settings(), store.KeyStore(), view),
        network,  # type: ignore[arg-type]
        home,
        counts.Counts(),
    )
    router.receive(home_fakes.FLOW, codec.encode(message))
    return network, home


def test_confirmation_reaches_the_leaving_home() -> None:
    """Guards against a planned stop that waits for callers without need.

    An ACK carries no ticket, so it is routed by the hash to the next home and
    the host that is leaving doesn't receive it.
    """
    message = codec.Message(code=codes.Code.EMPTY)
    message.mtype, message.mid, message.token = types.ACK, 7, b""
    network, home = _route(message)
    ((host, sent),) = network.sent
    assert host == _LEAVING
    assert isinstance(sent, relay.Relay)
    assert codec.decode(sent.data).mid == 7
    assert len(home.handled) == 1


def test_request_is_not_sent_to_a_leaving_host() -> None:
    network, home = _route(home_fakes.make_request(codes.Code.GET, "/lots"))
    assert not network.sent
    assert len(home.handled) == 1
