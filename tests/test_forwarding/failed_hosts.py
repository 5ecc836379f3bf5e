"""Scenarios of hosts that lose power around an acknowledged change."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import functools

import trio

from benchmarks import fleet as fleet_module
from tests.support import trios

_HOSTS = 12
_DOMAINS = 3
_SEED = 3
_DISCOVERY_S = 6.0
_POLL_INTERVAL_S = 0.05
# Time after which a change must be known to all running hosts, seconds.
_PROPAGATION_LIMIT_S = 6.0
_OUTAGE_S = 2.0
_SHORT_DELAY_S = 0.2

# Makes the store acknowledge a change.
Change = Callable[[fleet_module.Fleet], None]
# Makes a change and stops hosts around it.
FailureScenario = Callable[[fleet_module.Fleet, Change], Awaitable[None]]
# Returns whether a host has the change.
HasChange = Callable[[fleet_module.Fleet, fleet_module.Host], bool]


class VersionRecorder:
    """Records the versions in force on each host, at short intervals."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        # Versions of each process, without consecutive duplicates.
        self.versions: dict[int, list[int]] = {}

    async def run(self) -> None:
        """Records versions until cancelled."""
        while True:
            await trio.sleep(_POLL_INTERVAL_S)
            for host in self._fleet.hosts:
                state = host.core.knowledge.state
                versions = self.versions.setdefault(id(host), [])
                if state is not None and state.version not in versions[-1:]:
                    versions.append(state.version)


def list_followers(fleet: fleet_module.Fleet) -> list[fleet_module.Host]:
    """Returns the hosts that follow the store, one for each failure domain."""
    now = trio.current_time()
    return [host for host in fleet.hosts if host.role.should_follow(now)]


async def fail_follower(fleet: fleet_module.Fleet, change: Change) -> None:
    """Stops a following host immediately after the acknowledgement."""
    failed, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(failed)


async def fail_follower_before_change(
    fleet: fleet_module.Fleet, change: Change
) -> None:
    """Stops a following host immediately before the acknowledgement."""
    failed, *_ = list_followers(fleet)
    fleet.stop(failed)
    change(fleet)


async def fail_follower_after_delay(
    fleet: fleet_module.Fleet, change: Change
) -> None:
    """Stops a following host after it may have sent the change to others."""
    failed, *_ = list_followers(fleet)
    change(fleet)
    await trio.sleep(_SHORT_DELAY_S)
    fleet.stop(failed)


async def fail_two_followers(fleet: fleet_module.Fleet, change: Change) -> None:
    """Stops the following hosts of two failure domains."""
    failed = list_followers(fleet)[:2]
    change(fleet)
    for host in failed:
        fleet.stop(host)


async def fail_and_restart_follower(
    fleet: fleet_module.Fleet, change: Change
) -> None:
    """Stops a following host after the change, and restarts it later."""
    failed, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(failed)
    await trio.sleep(_OUTAGE_S)
    fleet.restart(failed)


async def fail_follower_after_store_outage(
    fleet: fleet_module.Fleet, change: Change
) -> None:
    """Makes a change and stops a following host right after a store outage.

    The host is restarted later.
    """
    fleet.store.go_down()
    await trio.sleep(_OUTAGE_S)
    fleet.store.is_down = False
    failed, *_ = list_followers(fleet)
    change(fleet)
    fleet.stop(failed)
    await trio.sleep(_OUTAGE_S)
    fleet.restart(failed)


async def fail_follower_of_partitioned_domain(
    fleet: fleet_module.Fleet, change: Change
) -> None:
    """Makes a change while a failure domain is partitioned.

    Its following host is stopped and restarted before the partition ends.
    """
    failed = list_followers(fleet)[0]
    fleet.cut_domain = failed.domain
    await trio.sleep(_SHORT_DELAY_S)
    change(fleet)
    fleet.stop(failed)
    await trio.sleep(_OUTAGE_S)
    fleet.restart(failed)
    await trio.sleep(_OUTAGE_S)
    fleet.cut_domain = ""


async def count_late_hosts(
    scenario: FailureScenario, change: Change, has_change: HasChange
) -> int:
    """Runs a scenario; returns the number of hosts that have the change late.

    Raises:
        AssertionError: A host reverted to an earlier version.
    """
    fleet = fleet_module.Fleet(_HOSTS, _DOMAINS, _SEED)
    recorder = VersionRecorder(fleet)
    async with fleet_module.run_fleet(fleet) as nursery:
        nursery.start_soon(recorder.run)
        await trio.sleep(_DISCOVERY_S)
        await scenario(fleet, change)
        await trio.sleep(_PROPAGATION_LIMIT_S)
        late_hosts = [
            host
            for host in fleet.hosts
            if not host.scope.cancel_called and not has_change(fleet, host)
        ]
    for versions in recorder.versions.values():
        assert versions == sorted(versions), versions
    return len(late_hosts)


def run_scenario(
    scenario: FailureScenario, change: Change, has_change: HasChange
) -> int:
    """Runs a scenario on a mock clock; returns the number of late hosts."""
    late_counts: list[int] = []

    async def run() -> None:
        late_counts.append(await count_late_hosts(scenario, change, has_change))

    trios.run_in_order(_SEED, functools.partial(run))
    return late_counts[0]


SCENARIOS: tuple[FailureScenario, ...] = (
    fail_follower,
    fail_follower_before_change,
    fail_follower_after_delay,
    fail_two_followers,
    fail_and_restart_follower,
    fail_follower_after_store_outage,
    fail_follower_of_partitioned_domain,
)
