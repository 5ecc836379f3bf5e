"""Tests of when a host reports to others."""

from __future__ import annotations

from collections.abc import Iterable
import itertools
import time
from unittest import mock

import msgspec
import trio

from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.forwarding.peers import book as books
from persimmonhinge.forwarding.peers import channel as channels
from persimmonhinge.forwarding.peers import following
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import reporter
from tests.support import trios
from tests.test_forwarding import test_forwarding_entry_replica as readers
from tests.test_forwarding import test_forwarding_peers_early_pull as hosts
from tests.test_forwarding import test_forwarding_peers_large_state as states

_PORT = 7721
_NEAR_HOSTS = 60
# Well below the time between two reports to so many hosts.
_SOON_S = 0.2
# A wait is up to a tenth longer than what was meant.
_LONGEST_WAIT = 1.1
_FAR_HOSTS = 540
# Time for a host to tell all others once, seconds.
_SETTLE_S = 300.0
_COUNTED_S = 60.0
_GREETED_S = 1.0
_STRANGER = flows.Endpoint("10.9.0.1", _PORT)


class Channel(channels.PeerChannel):
    """Notes when reports are sent, and what they are."""

    def __init__(self) -> None:
        self.sent_at: list[float] = []
        self.octets: list[bytes] = []
        self.addresses: list[flows.Endpoint] = []

    async def send_all(
        self, octets: bytes, addresses: Iterable[flows.Endpoint]
    ) -> None:
        """See `channel.PeerChannel`."""
        self.sent_at.append(trio.current_time())
        self.octets.append(octets)
        self.addresses.extend(addresses)

    async def wait_for(self, reports: int) -> None:
        """Waits until so many reports were sent."""
        while len(self.sent_at) < reports:
            await trio.sleep(0.01)

    def read_interval(self, number: int) -> float:
        """Returns the time to the next report that one names, seconds."""
        octets = self.octets[number]
        report = msgspec.msgpack.decode(octets, type=messages.Report)
        return report.interval_ms / 1000


def make_core(near_hosts: int = _NEAR_HOSTS) -> cores.ForwardCore:
    """Returns a host of a large failure domain."""
    core = hosts.make_core(_PORT)
    add_hosts(core, near_hosts)
    return core


def add_hosts(core: cores.ForwardCore, count: int) -> None:
    """Has a host hear others of its domain."""
    for number in range(count):
        hear(core.peers, flows.Endpoint(f"10.0.0.{number + 2}", _PORT), "north")


def add_far_hosts(core: cores.ForwardCore, count: int) -> None:
    """Has a host hear others of other domains."""
    for number in range(count):
        address = f"10.1.{number // 250}.{number % 250 + 1}"
        hear(core.peers, flows.Endpoint(address, _PORT), "south")


def hear(
    book: books.PeerBook, peer: flows.Endpoint, domain: str, now: float = 0.0
) -> None:
    """Has a report of another host come."""
    report = messages.Report(
        host=peer.host,
        incarnation=1,
        sequence=1,
        interval_ms=100,
        domain=domain,
        revision=0,
        age_ms=0,
        leaving=False,
        reaches_store=True,
        loads=(),
        peers=(),
    )
    book.take(peer, report, now)


def make_role(
    core: cores.ForwardCore, started_at: float = 0.0
) -> following.Following:
    """Returns whether a host follows the store."""
    settings = core.settings
    return following.Following(
        settings.host,
        settings.domain,
        core.peers,
        core.knowledge,
        settings.max_current_age_s,
        started_at,
    )


def make_reporter(core: cores.ForwardCore) -> reporter.Reporter:
    """Returns what tells others of a host."""
    return reporter.Reporter(core, make_role(core))


async def tell_far(core: cores.ForwardCore, channel: Channel) -> None:
    """Has a host tell hosts of other domains until cancelled."""
    with mock.patch.object(time, "monotonic", trio.current_time):
        await make_reporter(core).tell_far(channel)


async def count_soon_after(state: bytes) -> int:
    """Returns how many reports follow a desired state within a moment."""
    core = make_core()
    channel = Channel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_reporter(core).tell_near, channel)
        # The second report has just been sent.
        await channel.wait_for(2)
        former = len(channel.sent_at)
        states.take(core, "op/config", state, 5)
        await trio.sleep(_SOON_S)
        nursery.cancel_scope.cancel()
    return len(channel.sent_at) - former


@trios.clock_test
async def test_time_that_passes_between_two_looks_ends_no_host() -> None:
    """Hosts end by themselves, now and then, on a busy machine.

    What is left of a wait is worked out after a look at the clock that found
    it not over, and is below zero by then: `ValueError: seconds must be
    non-negative`.
    """
    waiting = make_reporter(make_core())
    looks = itertools.count(0.0, 0.07)
    with mock.patch.object(trio, "current_time", lambda: next(looks)):
        await waiting.wait_near(0.1)


@trios.clock_test
async def test_host_that_has_a_long_state_says_so_at_once() -> None:
    """A route that was added is refused for seconds in a large domain.

    All hosts ask the one that had the desired state first, since those that
    have it by then say so only at their next report, seconds later.
    """
    assert await count_soon_after(states.make_large_state(2)) == 1


@trios.clock_test
async def test_short_state_makes_no_report_come_sooner() -> None:
    assert await count_soon_after(readers.make_state(2)) == 0


@trios.clock_test
async def test_report_names_the_wait_that_follows_after_hosts_were_added() -> (
    None
):
    """Guards against live hosts taken for silent all over a fleet that starts.

    A host that has just heard of many others reports much more seldom from
    then on.
    """
    core = make_core(near_hosts=2)
    channel = Channel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(make_reporter(core).tell_near, channel)
        await channel.wait_for(2)
        add_hosts(core, _NEAR_HOSTS)
        await channel.wait_for(4)
        nursery.cancel_scope.cancel()
    waited_s = channel.sent_at[3] - channel.sent_at[2]
    assert waited_s > _SOON_S
    assert channel.read_interval(2) * _LONGEST_WAIT >= waited_s


@trios.clock_test
async def test_host_that_is_new_elsewhere_is_told_soon_in_a_large_fleet() -> (
    None
):
    """Guards against a host that hears other domains only after half a minute.

    Reports to other domains come the more seldom the more hosts there are.
    """
    core = make_core(near_hosts=0)
    add_far_hosts(core, _FAR_HOSTS)
    channel = Channel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tell_far, core, channel)
        await trio.sleep(_SETTLE_S)
        core.peers.add(_STRANGER, trio.current_time())
        await trio.sleep(_GREETED_S)
        nursery.cancel_scope.cancel()
    assert _STRANGER in channel.addresses


@trios.clock_test
async def test_reports_to_other_domains_stay_as_many_with_more_hosts() -> None:
    """Guards against a fleet whose hosts spend all on telling other domains."""
    few, many = [
        await count_far_reports(n) for n in (_FAR_HOSTS // 4, _FAR_HOSTS)
    ]
    assert many <= few * 1.1


async def count_far_reports(far_hosts: int) -> int:
    """Returns the reports of a host to other domains in some seconds."""
    core = make_core(near_hosts=0)
    add_far_hosts(core, far_hosts)
    channel = Channel()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(tell_far, core, channel)
        # All have been told once.
        await trio.sleep(_SETTLE_S)
        channel.addresses.clear()
        await trio.sleep(_COUNTED_S)
        nursery.cancel_scope.cancel()
    return len(channel.addresses)
