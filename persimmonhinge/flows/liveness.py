"""Estimates whether a silent keeper may become reachable again."""

from __future__ import annotations

import enum

import trio

from persimmonhinge import ids
from persimmonhinge.membership import view as view_module

# Time after the end of a network partition within which all hosts that declared
# each other dead because of it have refuted that, seconds.
MAX_REFUTATION_DELAY_S = 3.0


class Liveness(enum.Enum):
    """Assumed state of a keeper incarnation that does not answer.

    ALIVE: This host's view does not list the keeper as dead, so a link to it
        may open again.
    PARTITIONED: This host's view lists the keeper as dead, but a network
        partition would look the same.
    ENDED: The keeper is dead, or was paused for so long that its host returns
        as another incarnation.
    """

    ALIVE = "lives"
    PARTITIONED = "beyond-cut"
    ENDED = "gone"


class LivenessEstimator:
    """Distinguishes dead keepers from partitioned ones by this host's view.

    A network partition separates a whole failure domain, or this host. If
    other hosts of a keeper's domain answer, a keeper that the view lists as
    dead is in fact dead. A keeper that is missing from the view has ended, too.
    """

    def __init__(self, view: view_module.View) -> None:
        self._view = view

    def assess(self, keeper: ids.HostRef) -> Liveness:
        """Returns the assumed state of a keeper incarnation."""
        for member in self._view.all():
            if member.ref != keeper:
                continue
            if member.is_alive:
                return Liveness.ALIVE
            if (
                self._is_domain_unreachable(member.domain)
                or self._is_isolated()
            ):
                return Liveness.PARTITIONED
        return Liveness.ENDED

    def _is_domain_unreachable(self, domain: ids.DomainId) -> bool:
        return not any(
            member.domain == domain and member.is_alive
            for member in self._view.all()
        )

    def _is_isolated(self) -> bool:
        """Tells whether this host is, or recently was, isolated.

        Failure domains don't fail together. If no host of any domain sends a
        datagram, this host is cut off from the network.
        """
        own_domain = self._view.self_member.domain
        if all(member.domain == own_domain for member in self._view.all()):
            return False
        return self._view.isolation.was_recently_isolated(
            trio.current_time(), MAX_REFUTATION_DELAY_S
        )
