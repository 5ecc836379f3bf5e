"""Selection of an upstream by the choice policy of the contract."""

from __future__ import annotations

import collections
import dataclasses
import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import keeper_scheduler
from persimmonhinge.flows import loads
from persimmonhinge.flows import port
from persimmonhinge.membership import member as member_module
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import work
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice as choice_module

logger = logging.getLogger(__name__)

_QUERY_INTERVAL_S = 0.5
_QUERY_TIMEOUT_S = 1.0
# Query interval for a keeper that this host has not chosen since the last
# query: a report is only needed for the next choice.
_IDLE_QUERY_INTERVAL_S = 2.0
# At this rate, with reports of a few hundred octets, load queries stay below
# the limit for control traffic. In a large fleet, reports are requested less
# often. Reports that arrive with answers are not limited.
_MAX_QUERIES_PER_S = 10.0
# Lower bound of an upstream's trust (0 to 1). An upstream without any trust
# still gets a small share of the requests, so that its recovery is detected.
# If no upstream has any trust, the least loaded ones continue to serve.
_MIN_TRUST = 0.02


class UpstreamChooser:
    """Implements `flows.port.Chooser` by means of the keepers' load reports."""

    def __init__(
        self,
        view: view_module.View,
        placement: placement_module.Placement,
        contract_store: store.ContractStore,
        network: network_module.PeerNetwork,
        randomness: random.Random,
    ) -> None:
        self._view = view
        self._placement = placement
        self._contracts = contract_store
        self._network = network
        self._random = randomness
        self._keeper_scheduler = keeper_scheduler.KeeperScheduler(randomness)
        self._load_tracker = loads.LoadTracker(trio.current_time)
        self._recently_used_keepers: set[ids.HostId] = set()
        self._policies: dict[tuple[str, str], choice_module.ChoicePolicy] = {}

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contract.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Chooses an upstream; see `flows.port.Chooser`."""
        reachable = self._list_choices(entry, exclude, keeper_refs)
        if not reachable:
            return None
        home_count = self._placement.count_hosts()
        candidates = [
            self._make_candidate(entry, choice.upstream, kind, home_count)
            for choice in reachable.values()
        ]
        policy = self._get_policy(entry, kind)
        candidate = policy.choose(candidates)
        selected = reachable[candidate.upstream]
        self._recently_used_keepers.add(selected.keeper)
        if kind is not contract.CallKind.REQUEST or len(reachable) < 2:
            return selected
        may_be_busy = policy.requires_free_slot and _may_be_busy(
            selected.upstream, candidate
        )
        return dataclasses.replace(selected, may_be_busy=may_be_busy)

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Picks keepers for a ticket, in proportion to their capacity.

        The load of the keepers is ignored, because a ticket is used seconds
        after it was minted: all callers with tickets from the same time would
        send their requests to the keepers that were idle at that time.

        This host is picked only if no other host is the keeper of an
        upstream, since its failure would end home and keeper together.
        """
        weights: dict[ids.HostRef, float] = collections.defaultdict(float)
        reachable = self._list_choices(entry, frozenset(), None)
        for choice in reachable.values():
            upstream = choice.upstream
            weights[choice.keeper_ref] += self._compute_capacity(
                entry, upstream
            )
        own_ref = self._view.self_member.ref
        others = {ref: w for ref, w in weights.items() if ref != own_ref}
        service = ids.ServiceName(entry.contract.service)
        return self._keeper_scheduler.pick(service, others or weights, count)

    def record_start(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts a request or feed that this host has started."""
        self._load_tracker.record_start(service, upstream, kind)

    def record_end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contract.CallKind,
    ) -> None:
        """Counts a request or feed that this host has ended."""
        self._load_tracker.record_end(service, upstream, kind)

    def record_load(
        self, service: ids.ServiceName, load: work.UpstreamLoad
    ) -> None:
        """Records a load report that arrived with an answer."""
        self._load_tracker.record_load(service, load)

    def get_load(
        self, service: ids.ServiceName, upstream: ids.UpstreamId
    ) -> work.UpstreamLoad | None:
        """Returns the last load report on an upstream; None without one."""
        return self._load_tracker.get_load(service, upstream)

    async def run(self) -> None:
        """Queries the load of the keepers, with one task for each keeper."""
        async with trio.open_nursery() as nursery:
            polled: set[ids.HostId] = set()
            while True:
                version = self._view.changed.version
                for member in self._view.role_candidates():
                    if member.host not in polled:
                        polled.add(member.host)
                        nursery.start_soon(
                            self._poll_keeper, member.host, polled
                        )
                await self._view.changed.wait_beyond(version)

    async def _poll_keeper(
        self, host: ids.HostId, polled: set[ids.HostId]
    ) -> None:
        while True:
            member = self._view.get(host)
            if member is None or not member.is_alive:
                polled.discard(host)
                return
            await self._query_load(host)
            await self._wait_for_next_query(
                host, len(polled) / _MAX_QUERIES_PER_S
            )

    async def _wait_for_next_query(
        self, host: ids.HostId, min_interval_s: float
    ) -> None:
        """Waits until a keeper's next query is due.

        The interval is longer for a keeper that this host has not chosen
        since its last query.
        """
        self._recently_used_keepers.discard(host)
        idle_until = trio.current_time()
        # This host queries itself at the short interval in any case: that
        # needs no link, and operators see the loads of its own upstreams.
        if host != self._view.me:
            idle_until += _IDLE_QUERY_INTERVAL_S
        interval_s = max(_QUERY_INTERVAL_S, min_interval_s)
        while True:
            # Without jitter, hosts that started together would send their
            # queries together.
            await trio.sleep(interval_s * self._random.uniform(0.8, 1.2))
            if (
                host in self._recently_used_keepers
                or trio.current_time() >= idle_until
            ):
                return

    async def _query_load(self, host: ids.HostId) -> None:
        try:
            report = await self._network.call(
                host, work.LoadQuery(), _QUERY_TIMEOUT_S
            )
        except errors.PeerError:
            return
        if isinstance(report, work.LoadReport):
            for load in report.loads:
                self._record_polled_load(load)

    def _record_polled_load(self, load: work.UpstreamLoad) -> None:
        """Records a load whose upstream id is prefixed with its service."""
        service, _, upstream = load.upstream.partition("/")
        self._load_tracker.record_load(
            ids.ServiceName(service),
            work.UpstreamLoad(
                ids.UpstreamId(upstream),
                *(getattr(load, f) for f in load.__struct_fields__[1:]),
            ),
        )

    def _list_choices(
        self,
        entry: store.ContractEntry,
        exclude: frozenset[ids.UpstreamId],
        keeper_refs: frozenset[ids.HostRef] | None,
    ) -> dict[ids.UpstreamId, port.Choice]:
        """Returns the upstreams that may be chosen, with their keepers."""
        choices: dict[ids.UpstreamId, port.Choice] = {}
        for upstream in entry.contract.upstreams:
            upstream_id = ids.UpstreamId(upstream.id)
            if upstream_id in exclude or not self._accepts_work(
                entry, upstream
            ):
                continue
            keeper = self._find_keeper(entry, upstream)
            if keeper is None:
                continue
            if keeper_refs is not None and keeper.ref not in keeper_refs:
                continue
            choices[upstream_id] = port.Choice(
                upstream, keeper.host, keeper.ref
            )
        return choices

    def _find_keeper(
        self, entry: store.ContractEntry, upstream: contract.Upstream
    ) -> member_module.Member | None:
        key = ids.UpstreamId(f"{entry.contract.service}/{upstream.id}")
        return self._placement.find_keeper(key, upstream.domain)

    def _accepts_work(
        self, entry: store.ContractEntry, upstream: contract.Upstream
    ) -> bool:
        if upstream.state is not contract.UpstreamState.ACTIVE:
            return False
        load = self._load_tracker.get_load(
            ids.ServiceName(entry.contract.service),
            ids.UpstreamId(upstream.id),
        )
        return load is None or load.accepting

    def _make_candidate(
        self,
        entry: store.ContractEntry,
        upstream: contract.Upstream,
        kind: contract.CallKind,
        home_count: int,
    ) -> choice_module.Candidate:
        service = ids.ServiceName(entry.contract.service)
        upstream_id = ids.UpstreamId(upstream.id)
        return choice_module.Candidate(
            upstream_id,
            capacity=self._compute_capacity(entry, upstream, kind),
            load=self._load_tracker.estimate(
                service, upstream_id, kind, home_count
            ),
            own_load=self._load_tracker.count_own(service, upstream_id, kind),
            recent_load=self._load_tracker.count_recent(
                service, upstream_id, kind
            ),
        )

    def _compute_capacity(
        self,
        entry: store.ContractEntry,
        upstream: contract.Upstream,
        kind: contract.CallKind = contract.CallKind.REQUEST,
    ) -> float:
        """Returns the slots or connections of an upstream times its trust."""
        load = self._load_tracker.get_load(
            ids.ServiceName(entry.contract.service),
            ids.UpstreamId(upstream.id),
        )
        trust = max(load.trust if load else 1.0, _MIN_TRUST)
        units = upstream.connections
        if kind is contract.CallKind.REQUEST:
            units = load.slots if load else upstream.slots
        return max(units, 1) * trust

    def _get_policy(
        self, entry: store.ContractEntry, kind: contract.CallKind
    ) -> choice_module.ChoicePolicy:
        name = entry.contract.policies.choice
        if kind is contract.CallKind.FEED:
            name = choice_module.choice_policies.get(name).feed_policy or name
        key = (f"{entry.contract.service}/{kind.value}", name)
        if key not in self._policies:
            self._policies[key] = choice_module.choice_policies.get(name)(
                self._random
            )
        return self._policies[key]


def _may_be_busy(
    upstream: contract.Upstream, chosen: choice_module.Candidate
) -> bool:
    """Tells whether to query the chosen upstream for a free slot.

    A load report is older than the run time of most requests, so the chosen
    upstream may have no free slot although another one has. But if the least
    loaded upstream already has a queue, all are probably busy, and a query
    would only add load to overloaded hosts.
    """
    return chosen.load <= upstream.slots
