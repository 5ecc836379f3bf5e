"""Tests of hosts that lose power around an acknowledged change."""

from __future__ import annotations

from benchmarks import fleet as fleet_module
from persimmonhinge.forwarding import upstream as upstream_module
from tests.test_forwarding import failed_hosts


def has_change_and_drain(
    fleet: fleet_module.Fleet, host: fleet_module.Host
) -> bool:
    """Returns whether a host has the newest desired state and the drain."""
    state = host.core.knowledge.state
    draining = [
        upstream
        for upstream in host.core.knowledge.directory.list_all()
        if upstream.state is upstream_module.UpstreamState.DRAINING
    ]
    return (
        state is not None
        and state.version == fleet.store.version
        and len(draining) == 1
    )


def acknowledge_change_and_drain(fleet: fleet_module.Fleet) -> None:
    """Makes the store acknowledge a new desired state and a drain."""
    fleet.store.change_state()
    fleet.store.drain_upstream()


def test_change_is_known_though_the_host_that_follows_loses_power() -> None:
    """Guards against an acknowledged change that never reaches other hosts.

    The host that follows the store fails right after the acknowledgement, and
    no other host of its domain has received the change.
    """
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_is_known_though_the_host_lost_power_just_before() -> None:
    """Guards against a domain that waits for updates from a failed host.

    The host that follows the store fails just before the acknowledgement.
    """
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_before_change,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_that_some_hosts_have_received_reaches_the_others() -> None:
    """Guards against an update that reaches only a part of the hosts.

    The host that follows the store fails shortly after the acknowledgement,
    when it may have reported the change to some hosts.
    """
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_after_delay,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_is_known_though_two_domains_lose_their_follower() -> None:
    """Guards against a fleet that depends on two failed hosts for updates.

    The hosts that follow the store in two failure domains fail together.
    """
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_two_followers,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_host_that_lost_power_comes_back_with_the_change() -> None:
    """Guards against a restarted host that reverts to the former version."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_and_restart_follower,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_change_right_after_an_outage_is_known() -> None:
    """Guards against a change that is missed as it follows a store outage."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_after_store_outage,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )


def test_domain_that_was_cut_off_knows_the_change_when_it_is_back() -> None:
    """Guards against a domain that keeps its old version after a partition."""
    assert (
        failed_hosts.run_scenario(
            failed_hosts.fail_follower_of_partitioned_domain,
            acknowledge_change_and_drain,
            has_change_and_drain,
        )
        == 0
    )
