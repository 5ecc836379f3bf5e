"""Whether a keeper that does not answer may come back."""

from __future__ import annotations

import enum

import trio

from persimmonhinge import ids
from persimmonhinge.membership import view as view_module

# Hosts that took each other for dead in a cut have all refuted it in this time
# after it healed, seconds.
PARTITION_RECOVERY_S = 3.0


class Liveness(enum.Enum):
    """What is believed of a keeper without an answer.

    LIVES: It counts as alive; its link may come up.
    BEYOND_CUT: It counts as dead, but a cut would look the same.
    GONE: It is dead, or so paused that it comes back as another incarnation.
    """

    ALIVE = "lives"
    PARTITIONED = "beyond-cut"
    ENDED = "gone"


class LivenessEstimator:
    """Tells dead keepers from those beyond a cut, by the view of this host.

    A cut takes a whole failure domain away, or this host. Where others of its
    domain answer, a keeper that is believed dead is dead; one that is not even
    known is gone, too.
    """

    def __init__(self, view: view_module.View) -> None:
        self._view = view

    def assess(self, keeper: ids.HostRef) -> Liveness:
        """Returns what is believed of a keeper."""
        for member in self._view.all():
            if member.ref != keeper:
                continue
            if member.answers:
                return Liveness.ALIVE
            if (
                self._is_domain_unreachable(member.domain)
                or self._is_isolated()
            ):
                return Liveness.PARTITIONED
        return Liveness.ENDED

    def _is_domain_unreachable(self, domain: ids.DomainId) -> bool:
        return not any(
            member.domain == domain and member.answers
            for member in self._view.all()
        )

    def _is_isolated(self) -> bool:
        """Tells whether this host itself is, or just was, cut off from all.

        Failure domains don't die together, so silence of all of them means
        that this host can't hear them.
        """
        own_domain = self._view.self_member.domain
        if all(member.domain == own_domain for member in self._view.all()):
            return False
        return self._view.silence.is_recent(
            trio.current_time(), PARTITION_RECOVERY_S
        )
