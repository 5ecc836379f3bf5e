"""Rate limit, shared by all hosts, for an upstream that is warming up."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable

import xxhash

from persimmonhinge import ids
from persimmonhinge import records

# Interval in which a host with a share may open one flow. The limits of
# upstreams that are warming up are in requests per second.
_FLOW_INTERVAL_S = 1.0
# A rank older than this is computed again, from the hosts known by then.
_MAX_RANK_AGE_S = 1.0
# Number of ranks from which those of upstreams that are no longer warming up
# are removed.
_MAX_RANKS = 1024


class _Rank(records.Record, frozen=True):
    """Rank of this host among all hosts for one upstream.

    Attributes:
        position: Number of hosts that are ranked before this host.
        computed_at: Time when the rank was computed, seconds.
    """

    position: int
    computed_at: float


class WarmUpShares:
    """Divides the limit of an upstream that is warming up among the hosts.

    Hosts that each keep to the whole limit would exceed it together. So each
    host ranks all hosts by a hash of host and upstream, and for a limit of n
    requests per second the first n hosts open one flow per second each. This
    needs no messages between the hosts. Hosts that do not know each other yet
    may exceed the limit; the tolerance that is allowed above it covers them.
    """

    def __init__(
        self, host: str, list_others: Callable[[], Iterable[str]]
    ) -> None:
        """Creates the shares of a host.

        Args:
            host: Name of the host.
            list_others: Returns the names of the other hosts.
        """
        self._host = host
        self._list_others = list_others
        self._ranks: dict[ids.UpstreamId, _Rank] = {}
        self._opened_at: dict[ids.UpstreamId, float] = {}

    def may_open_flow(
        self, upstream: ids.UpstreamId, limit_per_s: float, now: float
    ) -> bool:
        """Returns whether this host may now open a flow at an upstream.

        Args:
            upstream: The upstream, which is warming up.
            limit_per_s: Requests per second that it accepts from all hosts
                together while it is warming up.
            now: The current time, seconds.
        """
        opened_at = self._opened_at.get(upstream)
        if opened_at is not None and now - opened_at <= _FLOW_INTERVAL_S:
            return False
        return self._get_position(upstream, now) < int(limit_per_s)

    def record_opening(self, upstream: ids.UpstreamId, now: float) -> None:
        """Records that a flow was opened at an upstream that is warming up."""
        for known, opened_at in list(self._opened_at.items()):
            if now - opened_at > _FLOW_INTERVAL_S:
                del self._opened_at[known]
                self._ranks.pop(known, None)
        self._opened_at[upstream] = now

    def _get_position(self, upstream: ids.UpstreamId, now: float) -> int:
        rank = self._ranks.get(upstream)
        if rank is None or now - rank.computed_at > _MAX_RANK_AGE_S:
            own = _make_sort_key(self._host, upstream)
            position = sum(
                _make_sort_key(other, upstream) < own
                for other in self._list_others()
            )
            if len(self._ranks) >= _MAX_RANKS:
                self._remove_old_ranks(now)
            rank = self._ranks[upstream] = _Rank(position, now)
        return rank.position

    def _remove_old_ranks(self, now: float) -> None:
        self._ranks = {
            upstream: rank
            for upstream, rank in self._ranks.items()
            if now - rank.computed_at <= _MAX_RANK_AGE_S
        }


def _make_sort_key(host: str, upstream: ids.UpstreamId) -> tuple[int, str]:
    return xxhash.xxh32_intdigest(f"{host}\n{upstream}".encode()), host
