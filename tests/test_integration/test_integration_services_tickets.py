"""Forged, replayed, foreign and expired tickets, and ports reused at once."""

from __future__ import annotations

import json
import random

import trio

from persimmonhinge.settings import entry
from tests.standins import once_scene
from tests.standins import raw_caller as callers
from tests.standins import raw_request as requests
from tests.standins import services_scene
from tests.support import trios

_FLOOR = services_scene.FLOOR
_INTAKE = services_scene.INTAKE
_FORGED = 40
_TICKET_OCTETS = 40
_LIFE_S = 1.0


@trios.trio_test
async def test_ticket_that_is_not_the_callers_own_runs_nothing() -> None:
    """Someone books lots with a ticket that was issued to another one.

    Tickets are sent by another caller, to another service, with each octet
    altered, cut short, or of random octets, to hosts at random. None may
    run anything or bring an upstream's answer, and all hosts go on.
    """
    async with once_scene.run_scene(services_scene.make_plan()) as scene:
        owner = await scene.open_caller()
        thief = await scene.open_caller()
        floor = scene.addresses(_FLOOR)
        ticket = await owner.fetch_ticket(floor)
        source = random.Random(1)
        for number, bad in enumerate(_list_bad(ticket, source)):
            await _try(owner, f"altered-{number}", bad, floor, source)
        await _try(thief, "replayed", ticket, floor, source)
        places = scene.addresses(_INTAKE)
        await _try(owner, "foreign", ticket, places, source)
        ran = scene.count_runs()
        assert not ran, ran
        await owner.reserve("own", *floor)
        assert await owner.repeat_until(owner.requests[0], floor)
        assert owner.requests[0].is_answered
        assert scene.count_runs() == {"own": 1}
        services_scene.check_no_stray(scene.read_log(), {"own": _FLOOR})


@trios.trio_test
async def test_expired_ticket_runs_nothing_new() -> None:
    """A lot is booked by a request whose ticket expired long ago.

    A ticket is kept for longer than it serves, and then used for a request
    that nobody sent before, at its own home and at other hosts.
    """
    flows = entry.FlowSettings(ticket_life_s=_LIFE_S)
    async with once_scene.run_scene(once_scene.make_plan(flows=flows)) as scene:
        caller = await scene.open_caller()
        hosts = scene.addresses()
        ticket = await caller.fetch_ticket(hosts)
        await trio.sleep(2 * _LIFE_S)
        await _try(caller, "late", ticket, hosts, random.Random(1))
        assert not scene.count_runs()


@trios.trio_test
async def test_port_reused_at_once_for_another_request() -> None:
    """A buyer reads the answer to the request of who had the port before.

    A caller books a lot and closes its socket. Another program gets the same
    port at once and sends another request with the same token and the same
    message id, to the same service and to another one. Each must get the
    answer to its own, not the kept one. Cause: copies told by id alone.
    """
    async with once_scene.run_scene(services_scene.make_plan()) as scene:
        floor, intake = scene.addresses(_FLOOR), scene.addresses(_INTAKE)
        port = 0
        services: dict[str, str] = {}
        for number in range(6):
            service = (_FLOOR, _INTAKE)[number % 3 // 2]
            places = floor if service == _FLOOR else intake
            key = f"reused-{number}"
            services[key] = service
            # The same seed: the same tokens and message ids.
            async with callers.open_raw_caller(seed=1, port=port) as caller:
                port = caller.address[1]
                await caller.fetch_ticket(places)
                request = await caller.reserve(key, *places)
                assert await caller.repeat_until(request, places)
                _check_own(request)
        services_scene.check_no_stray(scene.read_log(), services)
        assert scene.count_runs() == dict.fromkeys(services, 1)


def _list_bad(ticket: bytes, source: random.Random) -> list[bytes]:
    """Returns forged tickets: each octet altered, cut, and random ones."""
    altered = []
    for place in range(len(ticket)):
        octets = bytearray(ticket)
        octets[place] ^= 1 << source.randrange(8)
        altered.append(bytes(octets))
    cut = [ticket[:size] for size in (1, 8, 39)]
    made = [source.randbytes(_TICKET_OCTETS) for _ in range(_FORGED)]
    return altered + cut + made


async def _try(
    caller: callers.RawCaller,
    key: str,
    ticket: bytes,
    places: list[callers.Address],
    source: random.Random,
) -> None:
    """Sends a request with a ticket that must not run anything."""
    request = caller.make_request(key, ticket=ticket)
    await caller.send(request.octets, source.choice(places))
    await caller.repeat_until(request, places, limit_s=5.0)
    assert not any(a.code.is_successful() for a in request.answers), key


def _check_own(request: requests.RawRequest) -> None:
    assert request.is_answered, request.describe()
    keys = {json.loads(answer.payload)["key"] for answer in request.answers}
    assert keys == {request.key}
