"""Tests of asking for a slot that is free at once."""

from __future__ import annotations

import dataclasses
from typing import Any

from aiocoap.numbers import codes

from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import port
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_flows import home_fakes

POST = codes.Code.POST


class _AskingChooser(home_fakes.FakeChooser):
    """Says of each upstream that it may be busy."""

    def choose(
        self, entry: stores.ContractEntry, kind: Any, **limits: Any
    ) -> port.Choice | None:
        """Returns the first choice that is left."""
        choice = super().choose(entry, kind, **limits)
        if choice is None:
            return None
        return dataclasses.replace(choice, may_be_busy=True)


def _make_world() -> home_fakes.HomeWorld:
    return home_fakes.HomeWorld(make_chooser=_AskingChooser)


def _get_dispatch(message: base.Message) -> work.Dispatch:
    assert isinstance(message, work.Dispatch)
    return message


@trios.clock_test
async def test_request_waits_once_no_slot_was_free() -> None:
    """A request is sent to and fro between full upstreams.

    Each keeper says that no slot is free. The home asks each of them once
    at most, then lets the request wait.
    """
    world = _make_world()
    asked: list[work.Dispatch] = []

    async def keep(message: base.Message) -> base.Message:
        dispatch = _get_dispatch(message)
        asked.append(dispatch)
        if not dispatch.waits:
            return work.Dispatched(work.Outcome.BUSY)
        return home_fakes.make_answered(b"done")

    world.handle_calls_with(keep)
    async with world.running():
        echo = await world.get_ticket()
        answer = await world.send_request(POST, "/reserve", echo=echo)
    assert answer.payload == b"done"
    assert [dispatch.waits for dispatch in asked] == [False, True]


@trios.clock_test
async def test_second_question_for_one_upstream_leaves_later() -> None:
    """A buyer is refused although the upstream's queue is empty.

    The keeper refuses copies of a refused dispatch by the uptime that they
    tell. A home that asks the same upstream again within one millisecond
    looks like a copy.
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
    """Under load the retry budget is spent before anything failed.

    Asking for a free slot reaches no upstream, so it is no retry.
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
