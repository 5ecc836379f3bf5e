"""Tests of hosts that lose power right after a change was acknowledged."""

from __future__ import annotations

from benchmarks import fleet as fleet_module
from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import lost_hosts


def has_change_and_drain(
    fleet: fleet_module.Fleet, host: fleet_module.Host
) -> bool:
    """Tells whether a host knows the newest state and the drain."""
    state = host.core.knowledge.state
    draining = [
        upstream
        for upstream in host.core.knowledge.directory.all()
        if upstream.state is upstream_module.UpstreamState.DRAINING
    ]
    return (
        state is not None
        and state.version == fleet.store.version
        and len(draining) == 1
    )


def acknowledge_change_and_drain(fleet: fleet_module.Fleet) -> None:
    """Has a change of the desired state and a drain be acknowledged."""
    fleet.store.change_state()
    fleet.store.drain_upstream()


def test_change_is_known_though_the_host_that_follows_loses_power() -> None:
    """Guards against a drain that only the dead host had heard of."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_follower,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_is_known_though_the_host_lost_power_just_before() -> None:
    """Guards against a domain that waits for a host that is gone."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_follower_before,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_that_some_hosts_have_heard_of_reaches_the_others() -> None:
    """Guards against news that stop half way."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_follower_a_moment_later,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_is_known_though_two_domains_lose_their_follower() -> None:
    """Guards against a fleet that is told by two dead hosts."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_two,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_host_that_lost_power_comes_back_with_the_change() -> None:
    """Guards against a restart that brings the version before."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_and_restart,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_right_after_an_outage_is_known() -> None:
    """Guards against a change that hides behind a store that returns."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_while_the_store_returns,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_domain_that_was_cut_off_knows_the_change_when_it_is_back() -> None:
    """Guards against a cut domain that goes on with its version."""
    assert (
        lost_hosts.play(
            lost_hosts.lose_while_a_domain_is_cut,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )
