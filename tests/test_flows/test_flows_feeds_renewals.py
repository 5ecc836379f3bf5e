"""Tests of registrations of callers that have a feed already."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.coap import codec
from persimmonhinge.flows.feeds import limits
from tests.support import trios
from tests.test_flows import feeds_fakes
from tests.test_flows import feeds_world

_QUICK_S = 0.05
_MAX_AGE_S = limits.DEFAULT_MAX_AGE_S


def _register(
    world: feeds_world.World, message: codec.Message | None = None
) -> codec.Message:
    """Registers the caller's feed again; returns the reply."""
    received = len(world.caller.messages)
    world.find_home().register(message)
    assert len(world.caller.messages) == received + 1
    return world.caller.get_last_message()


@trios.clock_test
async def test_notification_that_crosses_a_registration_is_seen_once() -> None:
    """Guards against a reply that a caller takes for news.

    The home sends a notification before it reads a registration that the
    caller sent before the notification arrived.
    """
    for mtype in (aiocoap.NON, aiocoap.CON):
        async with feeds_fakes.run_world() as world:
            world.find_home().register()
            await trio.sleep(_QUICK_S)
            for tick in range(1, 4):
                world.publish(tick)
                await trio.sleep(_QUICK_S)
                registration = world.caller.make_get(mtype=mtype)
                reply = _register(world, registration)
                assert reply.payload == b'{"tick": %d}' % tick
            assert world.caller.ticks == [0, 1, 2, 3]


@trios.clock_test
async def test_reply_before_the_next_notification_is_seen_once() -> None:
    """Guards against the same where the home reads the registration first."""
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        for tick in range(1, 4):
            _register(world)
            world.publish(tick)
            await trio.sleep(_QUICK_S)
        assert world.caller.ticks == [0, 1, 2, 3]


@trios.clock_test
async def test_reply_replaces_a_notification_that_was_lost() -> None:
    """Guards against a caller that never gets the state it missed."""
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        world.caller.is_deaf = True
        world.publish(1)
        await trio.sleep(_QUICK_S)
        world.caller.is_deaf = False
        _register(world)
        assert world.caller.ticks == [0, 1]


@trios.clock_test
async def test_registration_refreshes_a_state_that_is_stale() -> None:
    """Guards against a caller that can't refresh a state (RFC 7641, 3.3.1)."""
    async with feeds_fakes.run_world() as world:
        world.find_home().register()
        await trio.sleep(_QUICK_S)
        world.publish(1)
        for _ in range(3):
            await trio.sleep(_MAX_AGE_S + limits.REFRESH_GRACE_S)
            _register(world)
            # A retransmission or a second registration refreshes nothing.
            _register(world)
        assert world.caller.ticks == [0, 1, 1, 1, 1]


@trios.clock_test
async def test_repeated_request_shows_no_state_that_is_held_back() -> None:
    """Guards against a state that is shown under the number of an older one.

    A caller repeats its registration while its home hands the feed over and
    holds back a new state.
    """
    async with feeds_fakes.run_world() as world:
        home = world.find_home()
        home.register()
        await trio.sleep(_QUICK_S)
        world.publish(1)
        await trio.sleep(_QUICK_S)
        registration = world.caller.make_get(mtype=aiocoap.CON)
        _register(world, registration)
        (feed,) = home.feeds._context.table
        home.feeds._callers.hold_answers(feed)
        world.publish(2)
        await trio.sleep(_QUICK_S)
        assert _register(world, registration).code is aiocoap.EMPTY
        home.feeds._callers.release_answers(feed)
        assert world.caller.ticks == [0, 1, 2]
        assert world.caller.get_last_message().mtype is aiocoap.CON
