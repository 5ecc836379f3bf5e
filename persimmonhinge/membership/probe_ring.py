"""The order in which members are probed."""

from __future__ import annotations

import random

from persimmonhinge import ids
from persimmonhinge.membership import roster as roster_module


class ProbeRing:
    """Goes through all members in random order, then through a new one.

    Each member is probed once in each round, so the time until a given host
    notices is bounded, which it is not with independent random choices.
    """

    def __init__(
        self, roster: roster_module.Roster, randomness: random.Random
    ) -> None:
        """Makes a ring over the members of a roster."""
        self._roster = roster
        self._randomness = randomness
        self._remaining: list[ids.HostId] = []
        roster.add_listener(self._handle_update)

    def next(self) -> ids.HostId | None:
        """Returns the next member that is not dead; None if there is none."""
        for _ in range(2):
            while self._remaining:
                host = self._remaining.pop()
                if self._roster.is_alive(host):
                    return host
            self._remaining = [
                member.host for member in self._roster.live_members()
            ]
            self._randomness.shuffle(self._remaining)
        return None

    def _handle_update(self, host: ids.HostId, appeared: bool) -> None:
        """Puts a new member at a random place of the present round."""
        if not appeared:
            return
        place = self._randomness.randint(0, len(self._remaining))
        self._remaining.insert(place, host)
