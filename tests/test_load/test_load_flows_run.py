"""Tests of a run of packet flows."""

from __future__ import annotations

import random
import time

import trio

from persimmonhinge.load import arrivals
from persimmonhinge.load.flows import run as runs
from persimmonhinge.settings import flow_load
from tests.standins import ports
from tests.support import trios

_CALLER = "127.0.0.9"
_DURATION_S = 0.4
_RATES = {"feed": 5.0, "reserve": 100.0}


def make_settings() -> flow_load.FlowLoadSettings:
    """Returns settings of a load that no host takes."""
    address = f"127.0.0.9:{ports.find_udp_port([_CALLER])}"
    return flow_load.FlowLoadSettings.model_validate(
        {
            "duration_s": _DURATION_S,
            "caller": _CALLER,
            "hosts": [address],
            "ready_port": ports.find_tcp_port(_CALLER),
            "kinds": [
                {
                    "kind": kind,
                    "service": "floor",
                    "address": address,
                    "rate": rate,
                    "limit_s": 0.1,
                    "retries": 0,
                }
                for kind, rate in _RATES.items()
            ],
            "upstreams": {"floor": ["u-1"]},
        }
    )


def count_arrivals(settings: flow_load.FlowLoadSettings) -> int:
    """Returns how many users are to come."""
    return sum(
        len(
            list(
                arrivals.make_arrivals(
                    kind.rate,
                    settings.duration_s,
                    random.Random(f"{settings.seed}/{kind.kind}"),
                )
            )
        )
        for kind in settings.kinds
    )


@trios.trio_test
async def test_all_users_come_though_the_load_tool_is_late() -> None:
    """A test of a calm load fails as fewer flows came than were asked for.

    The machine is busy, and the load tool gets no turn until its time is
    over. The kind of users that has its turn first is done, and ended the
    run for the other one, whose users then never came.
    """
    settings = make_settings()
    run = runs.FlowRun(settings)

    async def stand_still() -> None:
        await trio.sleep(_DURATION_S / 4)
        time.sleep(_DURATION_S)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stand_still)
        await run.run()
    assert len(run.book.requests) == count_arrivals(settings)
