"""Addresses to ping in search of hosts that this host does not see alive."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

import trio

from persimmonhinge import ids
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import roster as roster_module
from persimmonhinge.settings import entry

PlatformHosts = Callable[[], Iterable[entry.SeedHost]]

_MAX_CONTACTS_PER_CALL = 3
_MAX_RETRY_DELAY_S = 10.0
_REFRESH_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """An address at which a host may be running.

    Attributes:
        host: Expected name of the host.
        address: IP address and UDP port for heartbeats.
    """

    host: ids.HostId
    address: tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Retry:
    due_at: float
    delay_s: float


class Contacts:
    """Selects contacts to ping, with exponential back-off per contact.

    Contacts come from the seeds, the platform's list and the dead members. No
    source is authoritative: the platform's list lags behind, and a seed
    may have been removed. Contacts are therefore only pinged, and a host
    that answers identifies itself. Dead members are also pinged: a host that
    was partitioned is seen as dead, and no other mechanism would find it
    again.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        roster: roster_module.Roster,
        platform_hosts: PlatformHosts,
        randomness: random.Random,
    ) -> None:
        """Creates the contact list.

        Args:
            settings: Settings of this host, for the seeds and the heartbeat
                interval, which is the first retry delay.
            roster: Members of the deployment, alive or dead.
            platform_hosts: Returns the platform's list of hosts.
            randomness: Source of jitter.
        """
        self._seeds = settings.seeds
        self._first_retry_delay_s = settings.peers.heartbeat_interval_s
        self._roster = roster
        self._platform_hosts = platform_hosts
        self._randomness = randomness
        self._retries: dict[Contact, _Retry] = {}
        self._refresh_due_at = 0.0

    def select_due(self) -> list[Contact]:
        """Returns a random sample of the contacts that are due for a ping."""
        now = trio.current_time()
        if now >= self._refresh_due_at:
            self._refresh_due_at = now + _REFRESH_INTERVAL_S
            self._refresh()
        due = [c for c, retry in self._retries.items() if retry.due_at <= now]
        count = min(_MAX_CONTACTS_PER_CALL, len(due))
        chosen = self._randomness.sample(due, count)
        for contact in chosen:
            self._schedule_retry(self._retries[contact])
        return chosen

    def retry_soon(self) -> None:
        """Resets the back-off of all contacts.

        Called when an unknown or dead host appears, because others may have
        become reachable at the same time.
        """
        for retry in self._retries.values():
            retry.delay_s = self._first_retry_delay_s
            retry.due_at = min(
                retry.due_at, trio.current_time() + self._first_retry_delay_s
            )

    def _schedule_retry(self, retry: _Retry) -> None:
        jitter = self._randomness.uniform(0.5, 1.5)
        retry.due_at = trio.current_time() + retry.delay_s * jitter
        retry.delay_s = min(_MAX_RETRY_DELAY_S, retry.delay_s * 2)

    def _refresh(self) -> None:
        contacts = self._find_contacts()
        for contact in [c for c in self._retries if c not in contacts]:
            del self._retries[contact]
        for contact in contacts:
            if contact not in self._retries:
                self._retries[contact] = _Retry(
                    trio.current_time(), self._first_retry_delay_s
                )

    def _find_contacts(self) -> dict[Contact, None]:
        """Returns the contacts as dictionary keys, in deterministic order."""
        contacts = {
            _make_member_contact(m): None for m in self._roster.dead_members()
        }
        for seed in (*self._seeds, *self._platform_hosts()):
            contact = _make_seed_contact(seed)
            if not self._roster.is_alive(contact.host):
                contacts[contact] = None
        return contacts


def _make_member_contact(member: member_module.Member) -> Contact:
    return Contact(member.host, (member.address, member.heartbeat_port))


def _make_seed_contact(seed: entry.SeedHost) -> Contact:
    return Contact(ids.HostId(seed.host), (seed.address, seed.heartbeat_port))
