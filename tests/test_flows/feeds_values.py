"""Names, contracts and messages shared by the fakes for tests of feeds."""

from __future__ import annotations

import json
from typing import Any

import aiocoap

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.flows import port
from persimmonhinge.membership import member
from persimmonhinge.settings import entry

SERVICE = ids.ServiceName("floor-trading")
FLOW = port.Flow(SERVICE, ("127.9.0.1", 40000))
TOKEN = b"\x01\x02"
LINK_DELAY_S = 0.001
UPSTREAMS = ("u1", "u2", "u3")
State = member.MemberState


def make_member(host: str, state: State = State.ALIVE) -> member.Member:
    return member.Member(
        ids.HostId(host),
        ids.DomainId("d1"),
        "127.0.0.1",
        1,
        2,
        ids.Incarnation(1),
        state,
    )


def make_contract(draining: frozenset[str] = frozenset()) -> dict[str, Any]:
    upstreams = [
        {
            "id": name,
            "address": f"127.0.0.1:{9000 + number}",
            "domain": "d1",
            "slots": 2,
            "state": "draining" if name in draining else "active",
        }
        for number, name in enumerate(UPSTREAMS)
    ]
    prices = {"name": "prices", "method": "GET", "path": "/prices"}
    return {
        "service": SERVICE,
        "address": "127.0.0.1:5683",
        "upstreams": upstreams,
        "call_classes": [{**prices, "kind": "feed", "deadline_s": 8}],
    }


def make_payload(tick: int) -> bytes:
    return json.dumps({"tick": tick}).encode()


def make_answer(tick: int) -> bytes:
    message = codec.Message(code=aiocoap.CONTENT)
    message.payload = make_payload(tick)
    message.mtype, message.mid, message.token = aiocoap.NON, tick & 0xFFFF, b""
    return codec.encode(message)


def make_settings(host: str) -> entry.EntrySettings:
    return entry.EntrySettings.model_validate(
        {
            "host": host,
            "domain": "d1",
            "peers": {"port": 0, "heartbeat_port": 0},
            "platform": {"endpoints": ["http://127.0.0.1:1"]},
        }
    )
