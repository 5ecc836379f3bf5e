"""Rendezvous hash: which host is home of a flow or keeps an upstream."""

from __future__ import annotations

import dataclasses

import xxhash

from persimmonhinge import ids
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import view as view_module

# Below all scores.
_NO_SCORE = -1


@dataclasses.dataclass(slots=True)
class _Domain:
    """Members of one domain, in order of name."""

    names: list[bytes] = dataclasses.field(default_factory=list)
    hosts: list[member_module.Member] = dataclasses.field(default_factory=list)

    def find_best(self, key: int) -> tuple[int, member_module.Member]:
        """Returns the highest score and who has it.

        Equal scores go to the first name, on every host alike.
        """
        hash_name = xxhash.xxh3_64_intdigest
        scores = [hash_name(name, key) for name in self.names]
        best = max(scores)
        return best, self.hosts[scores.index(best)]

    def find_best_two(self, key: int) -> list[tuple[int, member_module.Member]]:
        """Returns the two highest scores, one if there is one member."""
        hash_name = xxhash.xxh3_64_intdigest
        scores = [hash_name(name, key) for name in self.names]
        best = max(scores)
        place = scores.index(best)
        found = [(best, self.hosts[place])]
        if len(scores) > 1:
            scores[place] = _NO_SCORE
            second = max(scores)
            found.append((second, self.hosts[scores.index(second)]))
        return found

    def rank(self, key: int) -> list[member_module.Member]:
        """Returns the members, highest score first."""
        hash_name = xxhash.xxh3_64_intdigest
        scored = [
            (hash_name(name, key), member)
            for name, member in zip(self.names, self.hosts, strict=True)
        ]
        scored.sort(key=_get_score, reverse=True)
        return [member for _, member in scored]


class Placement:
    """Places flows and upstreams on the members of a view.

    Each host has a score for each flow; the highest is the home. So each
    host is home of an equal part, and a host that joins or dies moves no
    flow but those that it gets or had. The members that take roles are
    grouped once for each change of the view, not for each packet.
    """

    def __init__(self, view: view_module.View) -> None:
        self._view = view
        self._version = -1
        self._domains: dict[str, _Domain] = {}

    def find_home(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> member_module.Member | None:
        """Returns the first of `rank_homes`, for half the work."""
        self._refresh()
        key = _hash_flow(service, caller)
        best = [domain.find_best(key) for domain in self._domains.values()]
        return max(best, key=_get_score)[1] if best else None

    def rank_homes(
        self, service: ids.ServiceName, caller: tuple[str, int]
    ) -> list[member_module.Member]:
        """Ranks the homes of a flow, best first.

        The first is the home. The others follow when it can't be reached:
        of all but the home, the best host of each domain.

        The second is thus the home once the first is known to be dead.
        Guards against two homes at that moment: while hosts still wait for
        a sign of a dead one, a caller's feed would open at a third host,
        and the feed's keeper would then give it to the right one as well;
        the caller would see ticks of both, thus steps back.
        """
        self._refresh()
        key = _hash_flow(service, caller)
        found = [domain.find_best_two(key) for domain in self._domains.values()]
        if not found:
            return []
        home = max(found, key=_get_first_score).pop(0)
        rest = [scored[0] for scored in found if scored]
        rest.sort(key=_get_score, reverse=True)
        return [home[1], *[member for _, member in rest]]

    def find_keeper(
        self, upstream: ids.UpstreamId, domain: str
    ) -> member_module.Member | None:
        """Returns the keeper of an upstream, None if its domain has no host.

        Args:
            upstream: The upstream, unique across services when written as
                `service/upstream`.
            domain: The failure domain of the upstream.
        """
        self._refresh()
        found = self._domains.get(domain)
        if found is None:
            return None
        _, keeper = found.find_best(_hash_key(upstream))
        return keeper

    def rank_hosts(self, key: str, domain: str) -> list[member_module.Member]:
        """Ranks the hosts of a domain that take roles, best first.

        Args:
            key: Name of the role that is placed.
            domain: The failure domain; unknown ones have no hosts.
        """
        self._refresh()
        found = self._domains.get(domain)
        return found.rank(_hash_key(key)) if found else []

    def count_hosts(self) -> int:
        """Returns how many hosts take roles."""
        self._refresh()
        return sum(len(domain.hosts) for domain in self._domains.values())

    def domains(self) -> list[str]:
        """Returns the failure domains with hosts that take roles, in order."""
        self._refresh()
        return sorted(self._domains)

    def _refresh(self) -> None:
        if self._version == self._view.changed.version:
            return
        self._version = self._view.changed.version
        self._domains = {}
        takers = sorted(self._view.role_candidates(), key=lambda m: m.host)
        for member in takers:
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
