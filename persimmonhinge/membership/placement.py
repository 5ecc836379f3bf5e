"""Places flow homes and upstream keepers on hosts by rendezvous hashing."""

from __future__ import annotations

import dataclasses

import xxhash

from persimmonhinge import ids
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import view as view_module

# Lower than any score, which is an unsigned hash.
_NO_SCORE = -1


@dataclasses.dataclass(slots=True)
class _Domain:
    """Members of one failure domain, sorted by name."""

    names: list[bytes] = dataclasses.field(default_factory=list)
    hosts: list[member_module.Member] = dataclasses.field(default_factory=list)

    def find_best(self, key: int) -> tuple[int, member_module.Member]:
        """Returns the highest score and the member that has it.

        Of equal scores, the first name wins, so all hosts agree.
        """
        hash_name = xxhash.xxh3_64_intdigest
        scores = [hash_name(name, key) for name in self.names]
        best = max(scores)
        return best, self.hosts[scores.index(best)]

    def find_best_two(self, key: int) -> list[tuple[int, member_module.Member]]:
        """Returns the two highest scores with their members.

        The list has one entry if the domain has one member.
        """
        hash_name = xxhash.xxh3_64_intdigest
        scores = [hash_name(name, key) for name in self.names]
        best = max(scores)
        index = scores.index(best)
        found = [(best, self.hosts[index])]
        if len(scores) > 1:
            scores[index] = _NO_SCORE
            second = max(scores)
            found.append((second, self.hosts[scores.index(second)]))
        return found

    def rank(self, key: int) -> list[member_module.Member]:
        """Returns the members sorted by descending score."""
        hash_name = xxhash.xxh3_64_intdigest
        scored = [
            (hash_name(name, key), member)
            for name, member in zip(self.names, self.hosts, strict=True)
        ]
        scored.sort(key=_get_score, reverse=True)
        return [member for _, member in scored]


class Placement:
    """Places flows and upstreams on the members of a view.

    Each host has a score for each flow, and the host with the highest score
    is the home. Each host is thus home of an equal share of the flows, and
    when a host joins or dies, only the flows that it receives or had move.
    The members that accept roles are grouped once per change of the view, not
    once per packet.
    """

    def __init__(self, view: view_module.View) -> None:
        self._view = view
        self._version = -1
        self._domains: dict[str, _Domain] = {}

    def find_home(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> member_module.Member | None:
        """Returns the first result of `rank_homes` at half the cost."""
        self._refresh()
        key = _hash_flow(service, caller)
        best = [domain.find_best(key) for domain in self._domains.values()]
        return max(best, key=_get_score)[1] if best else None

    def rank_homes(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> list[member_module.Member]:
        """Returns the home of a flow and the alternatives, best first.

        The alternatives, used while the home is unreachable, are the
        highest-scoring host of each domain, excluding the home.

        The second host in the ranking becomes the home once the first is
        known to be dead. This prevents two homes during that transition.
        Otherwise, while hosts still wait for answers of a dead home, a
        caller's feed could open at a third host, and the feed's keeper would
        then pass the feed to the correct home as well. The caller would
        receive events from both and see values go back to older ones.
        """
        self._refresh()
        key = _hash_flow(service, caller)
        found = [domain.find_best_two(key) for domain in self._domains.values()]
        if not found:
            return []
        home = max(found, key=_get_first_score).pop(0)
        alternatives = [scored[0] for scored in found if scored]
        alternatives.sort(key=_get_score, reverse=True)
        return [home[1], *[member for _, member in alternatives]]

    def find_keeper(
        self, upstream: ids.UpstreamId, domain: str
    ) -> member_module.Member | None:
        """Returns the keeper of an upstream; None if its domain has no host.

        Args:
            upstream: The upstream, written as `service/upstream` to be unique
                across services.
            domain: The failure domain of the upstream.
        """
        self._refresh()
        found = self._domains.get(domain)
        if found is None:
            return None
        _, keeper = found.find_best(_hash_key(upstream))
        return keeper

    def rank_hosts(self, key: str, domain: str) -> list[member_module.Member]:
        """Returns the hosts of a domain that accept roles, best first.

        Args:
            key: Name of the role to place.
            domain: The failure domain; an unknown domain has no hosts.
        """
        self._refresh()
        found = self._domains.get(domain)
        return found.rank(_hash_key(key)) if found else []

    def count_hosts(self) -> int:
        """Returns the number of hosts that accept roles."""
        self._refresh()
        return sum(len(domain.hosts) for domain in self._domains.values())

    def domains(self) -> list[str]:
        """Returns the sorted failure domains with hosts that accept roles."""
        self._refresh()
        return sorted(self._domains)

    def _refresh(self) -> None:
        if self._version == self._view.changed.version:
            return
        self._version = self._view.changed.version
        self._domains = {}
        candidates = sorted(self._view.role_candidates(), key=lambda m: m.host)
        for member in candidates:
            domain = self._domains.setdefault(member.domain, _Domain())
            domain.names.append(member.host.encode())
            domain.hosts.append(member)


def _get_score(
    scored: tuple[int, member_module.Member],
) -> tuple[int, ids.HostId]:
    score, member = scored
    return (score, member.host)


def _get_first_score(
    scored: list[tuple[int, member_module.Member]],
) -> tuple[int, ids.HostId]:
    return _get_score(scored[0])


def _hash_flow(service: ids.ServiceName, caller: tuple[str, int]) -> int:
    return _hash_key(f"{service}\n{caller[0]}\n{caller[1]}")


def _hash_key(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode())
