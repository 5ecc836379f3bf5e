"""Which hosts hold the watch, and with whom a host exchanges records."""

from __future__ import annotations

import dataclasses
import random

from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views

WATCHERS_IN_DOMAIN = 2
_WATCH_ROLE = "watch of the platform"

# A host keeps links for control to so many others, and not to all: at 610
# hosts links to all would go past the memory that control may take. Each host
# chooses by itself, so that together they form a random graph, in which news
# reaches all in a few steps.
_OWN_PARTNERS = 6
_OTHER_PARTNERS = 6

# To how many of the partners a host passes on news at once.
_OWN_PUSHES = 4
_OTHER_PUSHES = 2

# Part of the exchanges that stay in the own domain.
_OWN_PART = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class _Partners:
    own: list[ids.HostId]
    other: list[ids.HostId]


class Partners:
    """Chooses hosts from the view, in the same way until the view changes."""

    def __init__(
        self,
        view: views.View,
        placement: placements.Placement,
        randomness: random.Random,
    ) -> None:
        self._view = view
        self._placement = placement
        self._random = randomness
        self._version = -1
        self._chosen = _Partners([], [])

    def is_watcher(self) -> bool:
        """Tells whether this host is to hold the watch in its domain."""
        return self.find_watch_place() is not None

    def find_watch_place(self) -> int | None:
        """Returns the place of this host among those that hold the watch.

        Guards against a domain whose hosts are all drained: none of them
        takes roles, and without a watch they might never learn that the
        operators take them back. There each of them watches.

        Returns:
            0 for the first of its domain; None if it is not to watch.
        """
        domain = self._view.self_member.domain
        ranked = self._placement.rank_hosts(_WATCH_ROLE, domain)
        if not ranked:
            return 0
        hosts = [m.host for m in ranked[:WATCHERS_IN_DOMAIN]]
        return hosts.index(self._view.me) if self._view.me in hosts else None

    def pick_for_push(self, exclude: str) -> list[ids.HostId]:
        """Returns hosts to pass news to at once.

        Args:
            exclude: Where the news comes from; it needs no copy.
        """
        chosen = self._refresh()
        own = [h for h in chosen.own if h != exclude]
        other = [h for h in chosen.other if h != exclude]
        return self._sample(own, _OWN_PUSHES) + self._sample(
            other, _OTHER_PUSHES
        )

    def pick_for_exchange(self) -> list[ids.HostId]:
        """Returns hosts to exchange records with: the first that answers.

        The last is any host that answers: partners may all stand on the far
        side of a cut while another host can be reached.
        """
        chosen = self._refresh()
        own = self._sample(chosen.own, 1)
        other = self._sample(chosen.other, 1)
        if self._random.random() < _OWN_PART:
            picks = own + other
        else:
            picks = other + own
        anyone = self._sample(self._reachable(), 1)
        return list(dict.fromkeys(picks + anyone))

    def has_others(self) -> bool:
        """Tells whether any other host is known to answer."""
        return bool(self._reachable())

    def _reachable(self) -> list[ids.HostId]:
        return [
            m.host
            for m in self._view.all()
            if m.is_alive and m.host != self._view.me
        ]

    def _sample(self, hosts: list[ids.HostId], most: int) -> list[ids.HostId]:
        return self._random.sample(hosts, min(most, len(hosts)))

    def _refresh(self) -> _Partners:
        if self._version != self._view.changed.version:
            self._version = self._view.changed.version
            self._chosen = _Partners(self._choose_own(), self._choose_other())
        return self._chosen

    def _choose_own(self) -> list[ids.HostId]:
        domain = self._view.self_member.domain
        return self._rank(domain)[:_OWN_PARTNERS]

    def _choose_other(self) -> list[ids.HostId]:
        """Takes one host of each other domain in turn."""
        mine = self._view.self_member.domain
        ranked = [
            self._rank(domain)
            for domain in self._placement.domains()
            if domain != mine
        ]
        # Hosts differ in the domain that they begin with.
        random.Random(self._view.me).shuffle(ranked)
        chosen: list[ids.HostId] = []
        for place in range(_OTHER_PARTNERS):
            chosen += [hosts[place] for hosts in ranked if place < len(hosts)]
        return chosen[:_OTHER_PARTNERS]

    def _rank(self, domain: str) -> list[ids.HostId]:
        key = f"partners of {self._view.me}"
        ranked: list[members.Member] = self._placement.rank_hosts(key, domain)
        return [m.host for m in ranked if m.host != self._view.me]
