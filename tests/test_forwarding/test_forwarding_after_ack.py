"""Tests of hosts that lose power right after a change was acknowledged."""

from __future__ import annotations

from benchmarks import fleet as fleets
from persimmonhinge.forwarding import upstream as upstreams
from tests.test_forwarding import failed_hosts


def knows_all(fleet: fleets.Fleet, host: fleets.Host) -> bool:
    """Tells whether a host knows the newest state and the drain."""
    state = host.core.knowledge.state
    leaving = [
        upstream
        for upstream in host.core.knowledge.directory.list_all()
        if upstream.state is upstreams.UpstreamState.DRAINING
    ]
    return (
        state is not None
        and state.version == fleet.store.version
        and len(leaving) == 1
    )


def change(fleet: fleets.Fleet) -> None:
    """Has a change of the desired state and a drain be acknowledged."""
    fleet.store.change_state()
    fleet.store.drain_upstream()


def test_change_is_known_though_the_host_that_follows_loses_power() -> None:
    """Guards against a drain that only the dead host had heard of."""
    assert (
        failed_hosts.run_scenario(failed_hosts.fail_follower, change, knows_all)
        == 0
    )


def test_change_is_known_though_the_host_lost_power_just_before() -> None:
    """Guards against a domain that waits for a host that is gone."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_before_change, change, knows_all
        )
        == 0
    )


def test_change_that_some_hosts_have_heard_of_reaches_the_others() -> None:
    """Guards against news that stop half way."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_after_delay, change, knows_all
        )
        == 0
    )


def test_change_is_known_though_two_domains_lose_their_follower() -> None:
    """Guards against a fleet that is told by two dead hosts."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_two_followers, change, knows_all
        )
        == 0
    )


def test_host_that_lost_power_comes_back_with_the_change() -> None:
    """Guards against a restart that brings the version before."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_and_restart_follower, change, knows_all
        )
        == 0
    )


def test_change_right_after_an_outage_is_known() -> None:
    """Guards against a change that hides behind a store that returns."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_after_store_outage, change, knows_all
        )
        == 0
    )


def test_domain_that_was_cut_off_knows_the_change_when_it_is_back() -> None:
    """Guards against a cut domain that goes on with its version."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_of_partitioned_domain, change, knows_all
        )
        == 0
    )
