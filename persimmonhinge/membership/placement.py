"""Rendezvous hash: which host is home of a flow or keeps an upstream."""

from __future__ import annotations

import xxhash

from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.membership import view as views


class Placement:
    """Places flows and upstreams on the members of a view.

    The members that take roles are grouped by domain once for each change
    of the view, not for each packet.
    """

    def __init__(self, view: views.View) -> None:
        self._view = view
        self._version = -1
        self._by_domain: dict[str, list[members.Member]] = {}

    def rank_homes(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> list[members.Member]:
        """Ranks the homes of a flow: one host in each domain, best first.

        The first is the home. The others follow when it can't be reached.
        """
        self._refresh()
        key = f"{service}\n{caller[0]}\n{caller[1]}"
        domains = _rank(key, list(self._by_domain))
        return [self._best(key, domain) for domain in domains]

    def find_keeper(
        self, upstream: ids.UpstreamId, domain: str
    ) -> members.Member | None:
        """Returns the keeper of an upstream, None if its domain has no host.

        Args:
            upstream: The upstream, unique across services when written as
                `service/upstream`.
            domain: The failure domain of the upstream.
        """
        self._refresh()
        if domain not in self._by_domain:
            return None
        return self._best(upstream, domain)

    def rank_hosts(self, key: str, domain: str) -> list[members.Member]:
        """Ranks the hosts of a domain that take roles, best first.

        Args:
            key: Name of the role that is placed.
            domain: The failure domain; unknown ones have no hosts.
        """
        self._refresh()
        hosts = self._by_domain.get(domain, [])
        return sorted(hosts, key=lambda m: _score(key, m.host), reverse=True)

    def domains(self) -> list[str]:
        """Returns the failure domains with hosts that take roles, in order."""
        self._refresh()
        return sorted(self._by_domain)

    def _best(self, key: str, domain: str) -> members.Member:
        hosts = self._by_domain[domain]
        return max(hosts, key=lambda m: _score(key, m.host))

    def _refresh(self) -> None:
        if self._version == self._view.changed.version:
            return
        self._version = self._view.changed.version
        self._by_domain = {}
        for member in self._view.role_takers():
            self._by_domain.setdefault(member.domain, []).append(member)


def _rank(key: str, names: list[str]) -> list[str]:
    return sorted(names, key=lambda name: _score(key, name), reverse=True)


def _score(key: str, name: str) -> tuple[int, str]:
    # The name breaks ties in the same way on every host.
    return (xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode()), name)
