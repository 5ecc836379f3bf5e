"""Tests of links that fail, are refused, or come back."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.peers import errors as link_errors
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import base
from persimmonhinge.peers.messages import relay
from persimmonhinge.peers.messages import work
from tests.standins import faults_proxy
from tests.standins import faults_rules as rules
from tests.support import trios
from tests.test_peers import pairs

_LIMIT_S = 10.0
_FAST: dict[str, Any] = {
    "heartbeat_interval_s": 0.05,
    "suspicion_s": 0.2,
    "retry_interval_s": 0.05,
    "connect_timeout_s": 0.3,
}
_RELAY = relay.Relay(ids.ServiceName("s"), "127.0.0.1", 1, b"data")


class _Keeper:
    """Handles calls of a test: the first waits, later ones are answered."""

    def __init__(self) -> None:
        self.entered = trio.Event()
        self.left = trio.Event()

    async def serve(
        self, caller: network.Caller, message: work.LoadQuery
    ) -> base.Message | None:
        """Waits for the first caller to leave; answers the others."""
        if self.entered.is_set():
            return work.LoadReport(())
        self.entered.set()
        await caller.wait_closed()
        self.left.set()
        return None


@dataclasses.dataclass
class _Proxied:
    """Host A reaches host B through a proxy.

    Attributes:
        a: The host that calls.
        b: The host that serves.
        keeper: What serves the calls at B.
        proxy: What stands between them.
    """

    a: pairs.Host
    b: pairs.Host
    keeper: _Keeper
    proxy: faults_proxy.FaultProxy

    async def call(self) -> base.Message:
        """Calls B."""
        return await self.a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)

    async def call_until_answered(self) -> None:
        """Calls B again as long as it is not reached."""
        with trio.fail_after(_LIMIT_S):
            while True:
                try:
                    await self.call()
                    return
                except errors.PeerUnreachableError:
                    await trio.sleep(0.01)


@contextlib.asynccontextmanager
async def _open_proxied() -> AsyncIterator[_Proxied]:
    first = pairs.make_host(pairs.A, **_FAST)
    second = pairs.make_host(pairs.B, **_FAST)
    async with trio.open_nursery() as nursery:
        async with pairs.open_pair(first, second) as (a, b):
            proxy = faults_proxy.FaultProxy(nursery)
            target = (pairs.ADDRESS, b.network.port)
            _, port = await proxy.add_tcp("to-b", target)
            a.learn(pairs.make_member(pairs.B, port=port))
            keeper = _Keeper()
            b.network.handle(work.LoadQuery, keeper.serve)
            yield _Proxied(a, b, keeper, proxy)
        nursery.cancel_scope.cancel()


async def _expect_lost(proxied: _Proxied) -> None:
    try:
        await proxied.call()
    except errors.PeerLinkLostError:
        return
    raise AssertionError("the call was answered")


@trios.trio_test
async def test_lost_track_of_one_link_fails_its_calls_and_opens_another() -> (
    None
):
    """A reservation waits for its answer, and a middle box forgets the link.

    Packets of the old connection vanish while new connections work. The call
    must fail as "may have arrived" in a few rounds of keep-alive, and not at
    its deadline; the handler learns it; the next call takes a new link.
    """
    async with _open_proxied() as proxied, trio.open_nursery() as nursery:
        nursery.start_soon(_expect_lost, proxied)
        await proxied.keeper.entered.wait()
        proxied.proxy.black_hole()
        await proxied.keeper.left.wait()
        await proxied.call_until_answered()


@trios.trio_test
async def test_reset_after_the_call_was_sent_may_have_arrived() -> None:
    async with _open_proxied() as proxied, trio.open_nursery() as nursery:
        nursery.start_soon(_expect_lost, proxied)
        await proxied.keeper.entered.wait()
        proxied.proxy.reset()
        await proxied.keeper.left.wait()
        await proxied.call_until_answered()


@trios.trio_test
async def test_cut_before_the_link_opens_is_unreachable_until_it_heals() -> (
    None
):
    """Two failure domains are cut apart, then the cut heals.

    Nothing of a call gets through, and the caller must be told that surely
    nothing was delivered, so that another host may serve it.
    """
    async with _open_proxied() as proxied:
        proxied.proxy.table.set(rules.Fault(cut=True))
        for _ in range(3):
            try:
                await proxied.call()
                raise AssertionError("the call was answered")
            except errors.PeerUnreachableError:
                await trio.sleep(0.01)
        assert proxied.a.counts.sum("peer_dials_failed_total") > 0
        assert not proxied.keeper.entered.is_set()
        proxied.proxy.table.clear()
        proxied.keeper.entered.set()
        await proxied.call_until_answered()


@trios.trio_test
async def test_death_or_replacement_in_the_view_closes_the_link() -> None:
    """A keeper host dies without closing its connections.

    Its peers learn it by missed heartbeats. The calls that wait on its link
    must fail then and not at their deadline, and say that they may have run.
    """
    for change in (
        {"state": members.MemberState.DEAD},
        {"incarnation": ids.Incarnation(2)},
    ):
        async with _open_proxied() as proxied, trio.open_nursery() as nursery:
            nursery.start_soon(_expect_lost, proxied)
            await proxied.keeper.entered.wait()
            known = proxied.a.view.get(pairs.B)
            assert known is not None
            proxied.a.learn(dataclasses.replace(known, **change))
            await proxied.keeper.left.wait()


@trios.trio_test
async def test_dead_host_is_not_called() -> None:
    async with _open_proxied() as proxied:
        known = proxied.a.view.get(pairs.B)
        assert known is not None
        dead = members.MemberState.DEAD
        proxied.a.learn(dataclasses.replace(known, state=dead))
        assert not proxied.a.network.send(pairs.B, _RELAY)
        await _expect_refusal(proxied.a, "dead")
        assert not proxied.keeper.entered.is_set()


@trios.trio_test
async def test_other_host_under_the_address_is_refused() -> None:
    """A host is replaced by one of another name under the same address.

    A peer that still acts on the old view would hand it calls meant for the
    other name, whose tables it does not have.
    """
    async with pairs.open_pair() as (a, b):
        third = ids.HostId("host-c")
        member = dataclasses.replace(b.member, host=third)
        a.learn(member)
        await _expect_refusal(a, "wrong-host", third)
        kind = "PeerProtocolError"
        assert b.counts.get("peer_refusals_total", cause=kind) == 1


@trios.trio_test
async def test_older_process_of_a_name_is_refused_both_ways() -> None:
    """A host that was paused wakes after its successor has taken its name.

    Its links must not carry calls any more, neither its own nor those of
    peers whose view is newer.
    """
    async with pairs.open_pair() as (a, b):
        newer = dataclasses.replace(b.member, incarnation=ids.Incarnation(2))
        a.learn(newer)
        await _expect_refusal(a, "old-incarnation")
        await _expect_refusal(b, "old-incarnation", pairs.A)


@trios.trio_test
async def test_host_that_was_given_up_is_told_so() -> None:
    """A host that was paused takes a peer for gone, and not itself.

    It would then serve beside the hosts that have taken its place.
    """
    for cause, change in (
        ("dead", {"state": members.MemberState.DEAD}),
        ("old-incarnation", {"incarnation": ids.Incarnation(2)}),
    ):
        async with pairs.open_pair() as (a, b):
            b.learn(dataclasses.replace(a.member, **change))
            try:
                await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
                raise AssertionError("the call was answered")
            except link_errors.PeerGaveUpError as error:
                assert cause in str(error)
                assert error.peer == pairs.B


@trios.trio_test
async def test_new_process_is_dialed_without_waiting() -> None:
    """A host restarts under the same name while its peers wait to dial it.

    The wait was for the old process; the new one must get work at once.
    """
    first = pairs.make_host(pairs.A, retry_interval_s=60)
    async with pairs.open_pair(first) as (a, b):
        b.network.handle(work.LoadQuery, _answer)
        gone = dataclasses.replace(
            b.member, peer_port=1, incarnation=ids.Incarnation(0)
        )
        a.view.remove(pairs.B)
        a.learn(gone)
        await _expect_refusal(a, "connect")
        await _expect_refusal(a, "the last attempt failed")
        a.learn(b.member)
        await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)


async def _answer(
    caller: network.Caller, message: work.LoadQuery
) -> work.LoadReport:
    return work.LoadReport(())


async def _expect_refusal(
    host: pairs.Host, text: str, target: ids.HostId = pairs.B
) -> None:
    try:
        await host.network.call(target, work.LoadQuery(), _LIMIT_S)
    except errors.PeerUnreachableError as error:
        assert text in str(error), str(error)
        return
    raise AssertionError("the call was answered")
