"""Tests of feeds."""

from __future__ import annotations

import aiocoap
import trio

from persimmonhinge.client import client as clients
from persimmonhinge.client import errors
from persimmonhinge.client import feed as feeds
from persimmonhinge.client import settings as client_settings
from tests.support import trios
from tests.test_client import server as servers

FAST = client_settings.ClientSettings(
    ack_timeout_s=0.03, retry_s=0.05, silent_s=5.0
)


@trios.trio_test
async def test_late_and_repeated_notifications_are_dropped() -> None:
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=FAST) as caller,
        caller.observe("/board") as feed,
    ):
        first = await anext(feed)
        await server.notify(b"1", sequence=10)
        await server.notify(b"late", sequence=9)
        await server.notify(b"1", sequence=10)
        await server.notify(b"2", sequence=11)
        assert first.payload == b"state"
        assert (await anext(feed)).payload == b"1"
        assert (await anext(feed)).payload == b"2"


@trios.trio_test
async def test_silent_feed_is_registered_again() -> None:
    """A feed that went silent goes on without a new start.

    A buyer watches the board. The host that carried the feed loses track of
    it, and nothing comes any more, while new calls are answered. After
    `silent_s` the caller registers with the same token, and prices go on.
    """
    settings = FAST.model_copy(update={"silent_s": 0.1})
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=settings) as caller,
        caller.observe("/board") as feed,
    ):
        await anext(feed)
        (token,) = server.observers
        server.forget_observers()
        notification = await anext(feed)
        assert notification.renewed
        assert feed.renewals == 1
        assert server.observers == {token}


@trios.trio_test
async def test_max_age_puts_off_the_next_registration() -> None:
    settings = FAST.model_copy(update={"silent_s": 0.05})
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=settings) as caller,
        caller.observe("/board") as feed,
    ):
        server.max_age_s = 60
        await anext(feed)
        with trio.move_on_after(0.3):
            await anext(feed)
        assert feed.renewals == 0


@trios.trio_test
async def test_leaving_deregisters() -> None:
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=FAST) as caller,
    ):
        async with caller.observe("/board") as feed:
            await anext(feed)
            assert len(server.observers) == 1
        assert not server.observers
        assert server.seen[-1].opt.observe == 1


async def expect_reset(kind: aiocoap.Type) -> None:
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=FAST) as caller,
    ):
        async with caller.observe("/board", leave=feeds.Leave.RESET) as feed:
            await anext(feed)
        await server.notify(b"1", kind=kind)
        while len(server.seen) < 2:
            await trio.sleep(0.001)
        assert server.seen[-1].mtype is aiocoap.RST


@trios.trio_test
async def test_leaving_by_reset() -> None:
    await expect_reset(aiocoap.NON)


@trios.trio_test
async def test_leaving_by_reset_of_a_confirmable_notification() -> None:
    await expect_reset(aiocoap.CON)


@trios.trio_test
async def test_refused_feed_comes_back_under_a_new_token() -> None:
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=FAST) as caller,
        caller.observe("/board") as feed,
    ):
        server.script = [
            servers.make_answer(aiocoap.UNAUTHORIZED, echo=b"x"),
            servers.make_answer(aiocoap.SERVICE_UNAVAILABLE, max_age=0),
        ]
        assert (await anext(feed)).payload == b"state"
        tokens = [message.token for message in server.seen]
        echoes = [message.opt.echo for message in server.seen]
        assert len(set(tokens)) == 3
        assert echoes == [None, b"x", b"x"]


@trios.trio_test
async def test_error_ends_the_feed() -> None:
    async with (
        servers.open_server() as server,
        clients.open_client(server.address, settings=FAST) as caller,
        caller.observe("/board") as feed,
    ):
        server.script = [servers.make_answer(aiocoap.NOT_FOUND)]
        try:
            await anext(feed)
        except errors.FeedEndedError as error:
            assert error.answer.code is aiocoap.NOT_FOUND
        else:
            raise AssertionError("the feed went on")
