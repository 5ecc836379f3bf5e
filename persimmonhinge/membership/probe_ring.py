"""The order in which members are probed."""

from __future__ import annotations

import random

from persimmonhinge import ids
from persimmonhinge.membership import roster as roster_module


class ProbeRing:
    """Iterates over all members in random order, reshuffled each round.

    Each member is probed once per round. This bounds the time until this host
    detects a failure; independent random choices would not.
    """

    def __init__(
        self, roster: roster_module.Roster, randomness: random.Random
    ) -> None:
        """Creates a ring of the members of a roster."""
        self._roster = roster
        self._randomness = randomness
        self._remaining: list[ids.HostId] = []
        roster.add_listener(self._handle_update)

    def next(self) -> ids.HostId | None:
        """Returns the next member that is alive; None if there is none."""
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
        """Inserts a new member at a random position in the current round."""
        if not appeared:
            return
        index = self._randomness.randint(0, len(self._remaining))
        self._remaining.insert(index, host)
