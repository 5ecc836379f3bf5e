"""Declares suspected hosts dead after a timeout and a final probe."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.membership import probes as probes_module
from persimmonhinge.membership import record as record_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.settings import entry

# Rate (per second) and burst of final probes. With one helper per attempt,
# these limits keep traffic near the control budget when a partition cuts off
# many hosts.
_FINAL_PROBES_PER_S = 20.0
_MAX_FINAL_PROBE_BURST = 20
_FINAL_PROBE_HELPER_COUNT = 1


class Suspicions:
    """Runs one task for each suspected host.

    Each host decides by itself: it waits for the suspicion timeout and then
    probes the member, directly and through a helper. A death reported by
    another host skips the timeout, because that host has already waited, but
    not the final probe.
    """

    def __init__(
        self,
        peers: entry.PeerSettings,
        roster: roster_module.Roster,
        probes: probes_module.Probes,
        nursery: trio.Nursery,
    ) -> None:
        """Creates the object that resolves the suspicions of a host.

        Args:
            peers: Settings of heartbeats; the suspicion timeout includes the
                final probe.
            roster: Members and their records.
            probes: Probes members.
            nursery: Runs the tasks.
        """
        timeout_s = peers.suspicion_s - peers.heartbeat_interval_s
        self._timeout_s = max(0.0, timeout_s)
        self._roster = roster
        self._probes = probes
        self._nursery = nursery
        self._update_events: dict[ids.HostId, trio.Event] = {}
        self._next_probe_at = 0.0
        roster.add_listener(self._handle_update)

    def start_suspicion(self, host: ids.HostId) -> None:
        """Starts the suspicion task of a host unless one is running."""
        if host not in self._update_events:
            self._update_events[host] = trio.Event()
            self._nursery.start_soon(self._resolve_suspicion, host)

    def _handle_update(self, host: ids.HostId, appeared: bool) -> None:
        """Wakes the host's task; starts one if the host became suspected."""
        if host in self._update_events:
            self._update_events[host].set()
        elif self._roster.is_suspected(host):
            self.start_suspicion(host)

    async def _resolve_suspicion(self, host: ids.HostId) -> None:
        try:
            while not await self._try_to_resolve(host):
                if not self._roster.is_suspected(host):
                    return
        finally:
            del self._update_events[host]

    async def _try_to_resolve(self, host: ids.HostId) -> bool:
        """Waits, probes the host and declares it dead if it does not answer.

        Returns:
            False if the host answered or its record changed in the meantime.
        """
        record = self._roster.get(host)
        if record is None:
            return True
        if record.claim is not record_module.Claim.DEAD:
            await self._wait_for_update(host)
        await self._wait_for_rate_limit()
        current = self._roster.get(host)
        if current is None or current.full_version != record.full_version:
            return False
        if await self._probes.probe(host, _FINAL_PROBE_HELPER_COUNT):
            return False
        self._roster.declare_dead(host, record.full_version)
        return True

    async def _wait_for_update(self, host: ids.HostId) -> None:
        """Waits for the suspicion timeout or an update of the host's record."""
        self._update_events[host] = trio.Event()
        with trio.move_on_after(self._timeout_s):
            await self._update_events[host].wait()

    async def _wait_for_rate_limit(self) -> None:
        earliest = (
            trio.current_time() - _MAX_FINAL_PROBE_BURST / _FINAL_PROBES_PER_S
        )
        self._next_probe_at = max(
            earliest, self._next_probe_at + 1 / _FINAL_PROBES_PER_S
        )
        await trio.sleep_until(self._next_probe_at)
