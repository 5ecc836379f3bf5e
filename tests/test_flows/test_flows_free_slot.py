"""Tests of dispatches that require a free slot and may not be queued."""

from __future__ import annotations

import dataclasses
from typing import Any

from aiocoap.numbers import codes

from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

POST = codes.Code.POST


class _FreeSlotChooser(home_fakes.FakeChooser):
    """Marks each chosen upstream as possibly busy."""

    def choose(
        self, entry: store.ContractEntry, kind: Any, **limits: Any
    ) -> port.Choice | None:
        """Returns the first upstream that is not excluded."""
        choice = super().choose(entry, kind, **limits)
        if choice is None:
            return None
        return dataclasses.replace(choice, may_be_busy=True)


def _make_world() -> home_fakes.HomeWorld:
    return home_fakes.HomeWorld(make_chooser=_FreeSlotChooser)


def _get_dispatch(message: base.Message) -> work.Dispatch:
    assert isinstance(message, work.Dispatch)
    return message


@trios.clock_test
async def test_request_waits_once_no_slot_was_free() -> None:
    """Guards against a request that is sent back and forth between keepers.

    Each keeper reports that no slot is free. The home must query each of them
    at most once, and then let the request wait for a slot.
    """
    world = _make_world()
    dispatches: list[work.Dispatch] = []

    async def keep(message: base.Message) -> base.Message:
        dispatch = _get_dispatch(message)
        dispatches.append(dispatch)
        if not dispatch.waits:
            return work.Dispatched(work.Outcome.BUSY)
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(keep)
    async with world.running():
        echo = await world.get_ticket()
        answer = await world.send_request(POST, "/reserve", echo=echo)
    assert answer.payload == b"done"
    assert [dispatch.waits for dispatch in dispatches] == [False, True]


@trios.clock_test
async def test_second_dispatch_to_an_upstream_has_a_later_uptime() -> None:
    """Guards against a request that is refused although the queue is empty.

    A keeper detects copies of a refused dispatch by their home uptime. If the
    home dispatches to the same upstream again within one millisecond, the
    keeper treats the second dispatch as a copy of the first.
    """
    world = _make_world()
    uptimes: list[int] = []

    async def keep(message: base.Message) -> base.Message:
        dispatch = _get_dispatch(message)
        uptimes.append(dispatch.home_uptime_ms)
        if not dispatch.waits:
            return work.Dispatched(work.Outcome.BUSY)
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(keep)
    async with world.running():
        echo = await world.get_ticket()
        await world.send_request(POST, "/reserve", echo=echo)
    first, second = uptimes
    assert second > first


@trios.clock_test
async def test_busy_upstreams_cost_no_retry() -> None:
    """Guards against a retry budget that is spent without any failure.

    Under load, dispatches are answered BUSY. These do not reach an upstream,
    so the next dispatch does not count as a retry.
    """
    world = _make_world()

    async def keep(message: base.Message) -> base.Message:
        if not _get_dispatch(message).waits:
            return work.Dispatched(work.Outcome.BUSY)
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(keep)
    async with world.running():
        echo = await world.get_ticket()
        for number in range(20):
            token = bytes([number + 1])
            await world.send_request(POST, "/reserve", echo=echo, token=token)
    assert world.counts.sum("home_retries_total") == 0
    assert world.counts.sum("home_retries_denied_total") == 0
