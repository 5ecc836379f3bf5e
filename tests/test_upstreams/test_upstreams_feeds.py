"""Tests of feeds between a home and an upstream."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import aiocoap
from aiocoap import optiontypes
import trio

from persimmonhinge.coap import codec
from persimmonhinge.membership import member
from persimmonhinge.peers.messages import feeds
from tests.support import trios
from tests.test_upstreams import fake_network
from tests.test_upstreams import fake_upstream
from tests.test_upstreams import scene

_Cause = feeds.FeedEndCause
_LIMITS = {"silent_feed_s": 10.0, "upstream_timeout_s": 5.0}


class Board(fake_upstream.FakeUpstream):
    """A price board that publishes states on request of a test.

    Attributes:
        state: Current state.
        number: Observe number of the newest notification.
        registrations: Latest registration for each token.
        silent: Tokens for which the board no longer answers.
    """

    def __init__(self) -> None:
        super().__init__(self.serve)
        self.state = b"0"
        self.number = 0
        self.registrations: dict[bytes, codec.Message] = {}
        self.silent: set[bytes] = set()

    def serve(
        self, socket: fake_upstream.FakeSocket, request: codec.Message
    ) -> None:
        """Answers a registration or a deregistration."""
        if request.token in self.silent:
            return
        if request.opt.observe == 1:
            self.registrations.pop(request.token, None)
            fake_upstream.reply(socket, request, payload=self.state)
            return
        self.registrations[request.token] = request
        self.number += 1
        fake_upstream.reply(
            socket, request, payload=self.state, observe=self.number
        )

    def publish(
        self, state: bytes, message_type: aiocoap.Type = aiocoap.NON
    ) -> None:
        """Notifies all observers of a new state."""
        self.number += 1
        self.state = state
        for token, registration in self.registrations.items():
            if token not in self.silent:
                self.notify(registration, self.number, state, message_type)


@contextlib.asynccontextmanager
async def open_board(
    **upstream: object,
) -> AsyncIterator[tuple[scene.Scene, Board]]:
    """Runs a keeper with one board as its upstream."""
    board = Board()
    async with scene.open_scene(open_socket=board.open) as here:
        contract = scene.make_contract(
            {"u1": 9}, upstream=upstream, limits=_LIMITS
        )
        here.store.offer(scene.make_record(contract, 1))
        here.view.put(scene.make_member("west-1", "west"))
        yield here, board


async def receive_state(caller: fake_network.FakeCaller) -> bytes:
    """Returns the state in the next message, which must be an event."""
    with trio.fail_after(60):
        event = await caller.from_keeper.receive()
    assert isinstance(event, feeds.FeedEvent), event
    payload: bytes = codec.decode(event.answer).payload
    return payload


async def receive_end(caller: fake_network.FakeCaller) -> feeds.FeedEnd:
    """Returns the next message, which must be the end of the feed."""
    with trio.fail_after(60):
        end = await caller.from_keeper.receive()
    assert isinstance(end, feeds.FeedEnd), end
    return end


def assert_nothing_waits(caller: fake_network.FakeCaller) -> None:
    """Checks that no further message of the keeper is waiting."""
    try:
        message = caller.from_keeper.receive_nowait()
    except trio.WouldBlock:
        return
    raise AssertionError(f"unexpected {message}")


@trios.clock_test
async def test_feed_forwards_fresh_notifications_with_rising_numbers() -> None:
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as caller:
            first = await caller.from_keeper.receive()
            assert isinstance(first, feeds.FeedEvent)
            assert first.sequence == 40 + feeds.SEQUENCE_STRIDE
            [registration] = board.registrations.values()
            board.notify(registration, 5, b"five")
            board.notify(registration, 4, b"late")
            board.notify(registration, 5, b"five")
            board.notify(registration, 6, b"six", aiocoap.CON)
            assert await receive_state(caller) == b"five"
            assert await receive_state(caller) == b"six"
            assert_nothing_waits(caller)
            assert len(board.replies(aiocoap.ACK)) == 1
        await trio.sleep(1)
        assert not board.registrations
        assert here.keeper.list_loads()[0].feeds == 0


@trios.clock_test
async def test_feeds_beyond_the_connection_limit_are_refused() -> None:
    async with open_board(connections=1) as (here, _):
        async with here.network.open_call(scene.make_feed_open()) as one:
            await receive_state(one)
            other = scene.make_feed_open(token=b"other")
            async with here.network.open_call(other) as two:
                end = await receive_end(two)
                assert end.cause is _Cause.REFUSED
                assert end.retry_after_s > 0


@trios.clock_test
async def test_feed_continues_while_its_upstream_drains() -> None:
    """A feed must lose no events when operators drain its upstream.

    The home is requested to move the feed and opens it at another upstream
    first. Until it closes the former feed, it must get each event.
    """
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            draining = scene.make_contract(
                {"u1": 9}, upstream={"state": "draining"}
            )
            here.store.offer(scene.make_record(draining, 2))
            end = await receive_end(caller)
            assert end.cause is _Cause.DRAINING
            assert end.load is not None
            assert not end.load.accepting
            board.publish(b"later")
            assert await receive_state(caller) == b"later"
            other = scene.make_feed_open(token=b"other")
            async with here.network.open_call(other) as late:
                assert (await receive_end(late)).cause is _Cause.REFUSED


@trios.clock_test
async def test_silent_feed_is_detected_and_unchanged_feed_stays_open() -> None:
    """A feed may stay silent although new feeds and requests are answered.

    A device between keeper and upstream has lost its entry for the feed, which
    only a check with the token of the feed detects. A feed of a resource that
    does not change looks the same until it is checked; it must stay open.
    """
    quiet_open = scene.make_feed_open(token=b"quiet")
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as silent:
            await receive_state(silent)
            board.silent = set(board.registrations)
            async with here.network.open_call(quiet_open) as quiet:
                await receive_state(quiet)
                started_at = trio.current_time()
                end = await receive_end(silent)
                assert end.cause is _Cause.SILENT
                assert trio.current_time() - started_at < 16
                await trio.sleep(40)
                assert_nothing_waits(quiet)
                assert_nothing_waits(silent)
                board.publish(b"news")
                assert await receive_state(quiet) == b"news"
        assert here.counts.get("feeds_silent_total") == 1


@trios.clock_test
async def test_check_fetches_the_state_of_a_lost_notification() -> None:
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            board.state = b"its notification was lost"
            assert await receive_state(caller) == board.state


@trios.clock_test
async def test_feed_resumes_after_its_link_was_lost() -> None:
    """Events must not be lost while the link to the home is broken.

    The home opens the feed again later. If the keeper cancelled the feed when
    the link broke, the events sent in between would be missing.
    """
    opened = scene.make_feed_open()
    async with open_board() as (here, board):
        async with here.network.open_call(opened, "west-1") as caller:
            first = await caller.from_keeper.receive()
            assert isinstance(first, feeds.FeedEvent)
            caller.link_lost = True
        await trio.sleep(1)
        board.publish(b"one")
        board.publish(b"two")
        await trio.sleep(1)
        async with here.network.open_call(opened, "west-1") as again:
            # The home has not confirmed the first event.
            replay = await again.from_keeper.receive()
            assert replay == feeds.FeedEvent(first.sequence, first.answer, True)
            assert await receive_state(again) == b"one"
            assert await receive_state(again) == b"two"
        assert not here.network.sent


@trios.clock_test
async def test_feed_of_a_failed_home_is_offered_to_the_next() -> None:
    """A feed must not stop when its home fails.

    The caller only waits for events, so that only the keeper can tell another
    home about the feed. The link breaks at once; membership detects the
    failure later.
    """
    opened = scene.make_feed_open()
    async with open_board() as (here, board):
        here.network.replies[feeds.FeedAdopt] = feeds.Adopted(True)
        async with here.network.open_call(opened, "west-1") as caller:
            await receive_state(caller)
            await caller.to_keeper.send(feeds.FeedAck(50, (b"digest",)))
            await trio.sleep(0.1)
            caller.link_lost = True
        await trio.sleep(1)
        assert not here.network.sent
        home = here.view.get(scene.make_member("west-1").host)
        assert home is not None
        dead = member.MemberState.DEAD
        here.view.put(dataclasses.replace(home, state=dead))
        await trio.sleep(1)
        [(host, offer)] = here.network.sent
        assert host == "east-1"
        assert isinstance(offer, feeds.FeedAdopt)
        assert offer.feed.last_sequence == 50
        assert offer.feed.recent == (b"digest",)
        assert not board.registrations


@trios.clock_test
async def test_next_home_is_requested_to_move_a_draining_feed() -> None:
    """A feed stays at a draining upstream if no home was there to move it.

    The upstream starts to drain while the link to the home is broken.
    """
    opened = scene.make_feed_open(resumes=True)
    async with open_board() as (here, _):
        async with here.network.open_call(opened, "west-1") as caller:
            await receive_state(caller)
            caller.link_lost = True
        await trio.sleep(1)
        draining = scene.make_contract(
            {"u1": 9}, upstream={"state": "draining"}
        )
        here.store.offer(scene.make_record(draining, 2))
        async with here.network.open_call(opened, "west-1") as again:
            await receive_state(again)
            assert (await receive_end(again)).cause is _Cause.DRAINING


@trios.clock_test
async def test_next_home_is_requested_to_move_a_silent_feed() -> None:
    """A silent feed is not moved if its home failed after the request to move.

    The next home must get the request again at once.
    """
    opened = scene.make_feed_open(resumes=True)
    async with open_board() as (here, board):
        async with here.network.open_call(opened, "west-1") as caller:
            await receive_state(caller)
            board.silent = set(board.registrations)
            assert (await receive_end(caller)).cause is _Cause.SILENT
            caller.link_lost = True
        await trio.sleep(1)
        async with here.network.open_call(opened, "west-1") as again:
            await receive_state(again)
            started_at = trio.current_time()
            assert (await receive_end(again)).cause is _Cause.SILENT
            assert trio.current_time() - started_at < 1


@trios.clock_test
async def test_feed_with_a_malformed_request_is_refused() -> None:
    async with open_board() as (here, board):
        strange = scene.make_feed_open(request=b"no message")
        async with here.network.open_call(strange) as caller:
            assert (await receive_end(caller)).cause is _Cause.REFUSED
        assert not board.received


@trios.clock_test
async def test_feed_ended_by_its_upstream_is_reported_as_lost() -> None:
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            [registration] = board.registrations.values()
            board.notify(registration, None, b"last")
            assert await receive_state(caller) == b"last"
            assert (await receive_end(caller)).cause is _Cause.LOST


@trios.clock_test
async def test_feed_closed_by_its_home_is_not_held() -> None:
    """A connection of an upstream stays occupied after its feed has ended.

    The upstream ended the feed before its home closed it.
    """
    async with open_board() as (here, board):
        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            [registration] = board.registrations.values()
            board.notify(registration, None, b"last")
            assert await receive_state(caller) == b"last"
            assert (await receive_end(caller)).cause is _Cause.LOST
            await trio.sleep(0.1)
        await trio.sleep(1)
        assert here.keeper.list_loads()[0].feeds == 0


@trios.clock_test
async def test_remaining_blocks_of_a_large_notification_are_fetched() -> None:
    body = bytes(range(256)) * 12
    block = optiontypes.BlockOption.BlockwiseTuple

    async with open_board() as (here, board):

        def serve(
            socket: fake_upstream.FakeSocket, request: codec.Message
        ) -> None:
            if request.opt.block2 is None:
                board.serve(socket, request)
                return
            start = request.opt.block2.start
            fake_upstream.reply(
                socket,
                request,
                payload=body[start : start + 1024],
                block2=block(start // 1024, start + 1024 < len(body), 6),
                etag=b"tag",
            )

        board.handle_request = serve
        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            [registration] = board.registrations.values()
            options = {"block2": block(0, True, 6), "etag": b"tag"}
            board.notify(registration, 7, body[:1024], aiocoap.NON, **options)
            event = await caller.from_keeper.receive()
            assert isinstance(event, feeds.FeedEvent)
            whole = codec.decode(event.answer, limit=codec.MAX_WHOLE_OCTETS)
            assert whole.payload == body


@trios.clock_test
async def test_feeds_of_a_restarted_upstream_are_registered_again() -> None:
    """A restarted upstream has lost the registrations of its feeds.

    The keeper first notices it by a request that meets a closed port. If it
    waited for the silence limit instead, the feeds would get no events.
    """
    async with open_board() as (here, board):

        def refuse_posts(
            socket: fake_upstream.FakeSocket, request: codec.Message
        ) -> None:
            if request.code == aiocoap.POST:
                socket.refuse(request)
            else:
                board.serve(socket, request)

        async with here.network.open_call(scene.make_feed_open()) as caller:
            await receive_state(caller)
            board.registrations.clear()
            board.state = b"of the new process"
            board.handle_request = refuse_posts
            started_at = trio.current_time()
            await here.call_keeper(scene.make_dispatch())
            assert await receive_state(caller) == board.state
            assert trio.current_time() - started_at < 1
