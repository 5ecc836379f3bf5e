"""Announces that this host has refuted a suspicion."""

from __future__ import annotations

import random

import trio

from persimmonhinge.membership import probes as probes_module
from persimmonhinge.membership import roster as roster_module

# Members that are told directly; the others receive the news by gossip.
_MAX_RECIPIENTS = 8


class Refutations:
    """Sends the record of this host to members as soon as it refutes.

    Without this, a member shows a reachable host as suspect until one of the
    two happens to probe the other.
    """

    def __init__(
        self,
        interval_s: float,
        roster: roster_module.Roster,
        probes: probes_module.Probes,
        randomness: random.Random,
    ) -> None:
        """Creates the announcer of a host.

        Args:
            interval_s: Shortest time between two announcements, seconds.
            roster: Members, and the record of this host.
            probes: Sends the pings, which carry that record.
            randomness: Source of random choices.
        """
        self._interval_s = interval_s
        self._roster = roster
        self._probes = probes
        self._randomness = randomness

    async def run(self) -> None:
        """Announces each refutation until cancelled."""
        while True:
            await self._roster.wait_until_refuted()
            for member in self._roster.sample_members(
                _MAX_RECIPIENTS, self._randomness
            ):
                await self._probes.ping_address(
                    (member.address, member.heartbeat_port), member.host
                )
            await trio.sleep(self._interval_s)
