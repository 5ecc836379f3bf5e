"""What each host may send to an upstream that is cold."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from persimmonhinge import ids
from persimmonhinge import records

# Time in which a host with a share opens one flow, seconds. Limits of cold
# upstreams are in requests a second.
_FLOW_INTERVAL_S = 1.0
# How long a host keeps to the hosts that it knew, seconds.
_MAX_RANK_AGE_S = 1.0


class _Rank(records.Record, frozen=True):
    """This host's place among all for one upstream.

    Attributes:
        place: Hosts that come before it.
        at: When that was worked out.
    """

    position: int
    computed_at: float


class WarmUpShares:
    """Divides what a cold upstream takes among hosts, without agreement.

    Guards against hosts that each keep to a limit and together go beyond it: as
    many hosts as requests a second are allowed, the first by a hash of host and
    upstream, open one flow a second each. The part of the limit that is above
    what the upstream bears covers hosts that do not know each other yet.
    """

    def __init__(
        self, host: str, list_others: Callable[[], Iterable[str]]
    ) -> None:
        """Makes the shares of a host.

        Args:
            host: Its name.
            list_others: Returns the names of the other hosts.
        """
        self._host = host
        self._list_others = list_others
        self._ranks: dict[ids.UpstreamId, _Rank] = {}
        self._opened_at: dict[ids.UpstreamId, float] = {}

    def may_open_flow(
        self, upstream: ids.UpstreamId, limit_per_s: float, now: float
    ) -> bool:
        """Tells whether this host may open a flow at a cold upstream now.

        Args:
            upstream: The upstream.
            limit_per_s: Requests a second that it bears while it is cold.
            now: The time.
        """
        opened_at = self._opened_at.get(upstream)
        if opened_at is not None and now - opened_at <= _FLOW_INTERVAL_S:
            return False
        return self._get_position(upstream, now) < int(limit_per_s)

    def record_opening(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that a flow was opened at a cold upstream."""
        for known, opened_at in list(self._opened_at.items()):
            if now - opened_at > _FLOW_INTERVAL_S:
                del self._opened_at[known]
                self._ranks.pop(known, None)
        self._opened_at[upstream] = now

    def _get_position(self, upstream: ids.UpstreamId, now: float) -> int:
        rank = self._ranks.get(upstream)
        if rank is None or now - rank.computed_at > _MAX_RANK_AGE_S:
            own = _make_sort_key(self._host, upstream)
            place = sum(
                _make_sort_key(other, upstream) < own
                for other in self._list_others()
            )
            rank = self._ranks[upstream] = _Rank(place, now)
        return rank.position


def _make_sort_key(host: str, upstream: ids.UpstreamId) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{host}\n{upstream}".encode()), host
