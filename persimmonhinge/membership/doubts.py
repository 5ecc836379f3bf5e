"""Suspicions: a time to refute, then a last try, then death."""

from __future__ import annotations

import trio

from persimmonhinge import ids
from persimmonhinge.membership import probes as probing
from persimmonhinge.membership import record as records
from persimmonhinge.membership import roster as rosters
from persimmonhinge.settings import entry as settings_entry

# Last tries a second, and at once; with one helper each they keep a cut of
# many hosts near the control budget.
_TRIES_PER_S = 20.0
_TRIES_AT_ONCE = 20
_HELPERS = 1


class Doubts:
    """One task for each host that may be dead.

    Each host draws its own conclusion: it waits the suspicion time and then
    tries to reach the member itself, with help. Hearsay of a death skips
    the wait, since the one who spread it has waited, but not the try.
    """

    def __init__(
        self,
        peers: settings_entry.PeerSettings,
        roster: rosters.Roster,
        probes: probing.Probes,
        nursery: trio.Nursery,
    ) -> None:
        """Makes the part.

        Args:
            peers: Settings of heartbeats; the suspicion time includes the
                last try.
            roster: What is believed of hosts.
            probes: Asks members for signs of life.
            nursery: Where the tasks run.
        """
        wait_s = peers.suspicion_s - peers.heartbeat_interval_s
        self._wait_s = max(0.0, wait_s)
        self._roster = roster
        self._probes = probes
        self._nursery = nursery
        self._news: dict[ids.HostId, trio.Event] = {}
        self._next_try = 0.0
        roster.add_listener(self._take_news)

    def begin(self, host: ids.HostId) -> None:
        """Doubts a host, unless it is doubted already."""
        if host not in self._news:
            self._news[host] = trio.Event()
            self._nursery.start_soon(self._settle, host)

    def _take_news(self, host: ids.HostId, appeared: bool) -> None:
        """Tells the task of a host of news; begins one if they are doubts."""
        if host in self._news:
            self._news[host].set()
        elif self._roster.is_doubted(host):
            self.begin(host)

    async def _settle(self, host: ids.HostId) -> None:
        try:
            while not await self._try_to_settle(host):
                if not self._roster.is_doubted(host):
                    return
        finally:
            del self._news[host]

    async def _try_to_settle(self, host: ids.HostId) -> bool:
        """Waits, tries and concludes; False if something came in between."""
        record = self._roster.get(host)
        if record is None:
            return True
        if record.claim is not records.Claim.DEAD:
            await self._wait(host)
        await self._wait_for_turn()
        present = self._roster.get(host)
        if present is None or present.life != record.life:
            return False
        if await self._probes.probe(host, _HELPERS):
            return False
        self._roster.declare_dead(host, record.life)
        return True

    async def _wait(self, host: ids.HostId) -> None:
        """Waits the suspicion time, or until there is news of the host."""
        self._news[host] = trio.Event()
        with trio.move_on_after(self._wait_s):
            await self._news[host].wait()

    async def _wait_for_turn(self) -> None:
        earliest = trio.current_time() - _TRIES_AT_ONCE / _TRIES_PER_S
        self._next_try = max(earliest, self._next_try + 1 / _TRIES_PER_S)
        await trio.sleep_until(self._next_try)
