"""Chooses an upstream by the policy that its contract names."""

from __future__ import annotations

import collections
import dataclasses
import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import keeper_turns
from persimmonhinge.flows import loads
from persimmonhinge.flows import port
from persimmonhinge.membership import member as members
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice as policies

logger = logging.getLogger(__name__)

_QUERY_INTERVAL_S = 0.5
_QUERY_TIMEOUT_S = 1.0
# A keeper that this host has given nothing since the last question is asked
# again after this time: its report is of use only for the next choice.
_IDLE_QUERY_INTERVAL_S = 2.0
# So many queries a second, with reports of a few hundred octets, stay below
# the limit of what control may send. In a large fleet reports come later;
# those that come with answers are not limited.
_MOST_QUERIES_PER_S = 10.0
# An upstream that nobody trusts still gets a trickle, by which it is seen
# to recover; with all distrusted alike, the least bad go on serving.
_LEAST_TRUST = 0.02


class UpstreamChooser:
    """Implements `flows.port.Chooser` from the keepers' reports."""

    def __init__(
        self,
        view: views.View,
        placement: placements.Placement,
        contract_store: stores.ContractStore,
        network: networks.PeerNetwork,
        randomness: random.Random,
    ) -> None:
        self._view = view
        self._placement = placement
        self._contracts = contract_store
        self._network = network
        self._random = randomness
        self._turns = keeper_turns.KeeperTurns(randomness)
        self._book = loads.LoadBook(trio.current_time)
        self._used: set[ids.HostId] = set()
        self._policies: dict[tuple[str, str], policies.ChoicePolicy] = {}

    def choose(
        self,
        entry: stores.ContractEntry,
        kind: contracts.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        among: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Chooses an upstream; see `flows.port.Chooser`."""
        reachable = self._find_reachable(entry, exclude, among)
        if not reachable:
            return None
        homes = self._placement.count_hosts()
        candidates = [
            self._weigh(entry, choice.upstream, kind, homes)
            for choice in reachable.values()
        ]
        policy = self._get_policy(entry, kind)
        chosen = policy.choose(candidates)
        found = reachable[chosen.upstream]
        self._used.add(found.keeper)
        if kind is not contracts.CallKind.REQUEST or len(reachable) < 2:
            return found
        may_be_busy = policy.requires_free_slot and _may_be_busy(
            found.upstream, chosen
        )
        return dataclasses.replace(found, may_be_busy=may_be_busy)

    def pick_keepers(
        self, entry: stores.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Returns keeper incarnations for a ticket, in turn by capacity.

        Load plays no part. A ticket is used seconds after it was minted:
        by then all callers that got one would come to the keepers that were
        idle at that time.

        This host is named only if no other keeps an upstream: its death
        would take home and keeper at once.
        """
        weights: dict[ids.HostRef, float] = collections.defaultdict(float)
        reachable = self._find_reachable(entry, frozenset(), None)
        for choice in reachable.values():
            upstream = choice.upstream
            weights[choice.keeper_ref] += self._find_capacity(entry, upstream)
        me = self._view.self_member.ref
        others = {ref: w for ref, w in weights.items() if ref != me}
        service = ids.ServiceName(entry.contract.service)
        return self._turns.pick(service, others or weights, count)

    def begin(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contracts.CallKind,
    ) -> None:
        """Counts work that this host has begun at an upstream."""
        self._book.begin(service, upstream, kind)

    def end(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        kind: contracts.CallKind,
    ) -> None:
        """Counts work that this host has ended."""
        self._book.end(service, upstream, kind)

    def note(self, service: ids.ServiceName, load: work.UpstreamLoad) -> None:
        """Takes in a report that came with an answer."""
        self._book.note(service, load)

    def get_load(
        self, service: ids.ServiceName, upstream: ids.UpstreamId
    ) -> work.UpstreamLoad | None:
        """Returns the last report on an upstream, None if there is none."""
        return self._book.get(service, upstream)

    async def run(self) -> None:
        """Asks the keepers for their loads, one task for each keeper."""
        async with trio.open_nursery() as nursery:
            asked: set[ids.HostId] = set()
            while True:
                version = self._view.changed.version
                for member in self._view.role_takers():
                    if member.host not in asked:
                        asked.add(member.host)
                        nursery.start_soon(self._ask_keeper, member.host, asked)
                await self._view.changed.wait_beyond(version)

    async def _ask_keeper(
        self, host: ids.HostId, asked: set[ids.HostId]
    ) -> None:
        while True:
            member = self._view.get(host)
            if member is None or not member.answers:
                asked.discard(host)
                return
            await self._ask_once(host)
            await self._wait_to_ask(host, len(asked) / _MOST_QUERIES_PER_S)

    async def _wait_to_ask(self, host: ids.HostId, least_s: float) -> None:
        """Waits a short time if the keeper is in use, else a longer one."""
        self._used.discard(host)
        idle_until = trio.current_time()
        # What this host keeps it asks without a link, and shows to operators.
        if host != self._view.me:
            idle_until += _IDLE_QUERY_INTERVAL_S
        interval_s = max(_QUERY_INTERVAL_S, least_s)
        while True:
            # Hosts that started together would ask together.
            await trio.sleep(interval_s * self._random.uniform(0.8, 1.2))
            if host in self._used or trio.current_time() >= idle_until:
                return

    async def _ask_once(self, host: ids.HostId) -> None:
        try:
            report = await self._network.call(
                host, work.LoadQuery(), _QUERY_TIMEOUT_S
            )
        except errors.PeerError:
            return
        if isinstance(report, work.LoadReport):
            for load in report.loads:
                self._take_in(load)

    def _take_in(self, load: work.UpstreamLoad) -> None:
        service, _, upstream = load.upstream.partition("/")
        self._book.note(
            ids.ServiceName(service),
            work.UpstreamLoad(
                ids.UpstreamId(upstream),
                *(getattr(load, f) for f in load.__struct_fields__[1:]),
            ),
        )

    def _find_reachable(
        self,
        entry: stores.ContractEntry,
        exclude: frozenset[ids.UpstreamId],
        among: frozenset[ids.HostRef] | None,
    ) -> dict[ids.UpstreamId, port.Choice]:
        found: dict[ids.UpstreamId, port.Choice] = {}
        for upstream in entry.contract.upstreams:
            upstream_id = ids.UpstreamId(upstream.id)
            if upstream_id in exclude or not self._accepts(entry, upstream):
                continue
            keeper = self._find_keeper(entry, upstream)
            if keeper is None:
                continue
            if among is not None and keeper.ref not in among:
                continue
            found[upstream_id] = port.Choice(upstream, keeper.host, keeper.ref)
        return found

    def _find_keeper(
        self, entry: stores.ContractEntry, upstream: contracts.Upstream
    ) -> members.Member | None:
        key = ids.UpstreamId(f"{entry.contract.service}/{upstream.id}")
        return self._placement.find_keeper(key, upstream.domain)

    def _accepts(
        self, entry: stores.ContractEntry, upstream: contracts.Upstream
    ) -> bool:
        if upstream.state is not contracts.UpstreamState.ACTIVE:
            return False
        load = self._book.get(
            ids.ServiceName(entry.contract.service),
            ids.UpstreamId(upstream.id),
        )
        return load is None or load.accepting

    def _weigh(
        self,
        entry: stores.ContractEntry,
        upstream: contracts.Upstream,
        kind: contracts.CallKind,
        homes: int,
    ) -> policies.Candidate:
        service = ids.ServiceName(entry.contract.service)
        upstream_id = ids.UpstreamId(upstream.id)
        return policies.Candidate(
            upstream_id,
            capacity=self._find_capacity(entry, upstream, kind),
            load=self._book.estimate(service, upstream_id, kind, homes),
            own_load=self._book.count_own(service, upstream_id, kind),
            recent_load=self._book.count_recent(service, upstream_id, kind),
        )

    def _find_capacity(
        self,
        entry: stores.ContractEntry,
        upstream: contracts.Upstream,
        kind: contracts.CallKind = contracts.CallKind.REQUEST,
    ) -> float:
        """Returns slots or connections, times the trust in the upstream."""
        load = self._book.get(
            ids.ServiceName(entry.contract.service),
            ids.UpstreamId(upstream.id),
        )
        trust = max(load.trust if load else 1.0, _LEAST_TRUST)
        units = upstream.connections
        if kind is contracts.CallKind.REQUEST:
            units = load.slots if load else upstream.slots
        return max(units, 1) * trust

    def _get_policy(
        self, entry: stores.ContractEntry, kind: contracts.CallKind
    ) -> policies.ChoicePolicy:
        name = entry.contract.policies.choice
        if kind is contracts.CallKind.FEED:
            name = policies.choice_policies.get(name).feed_policy or name
        key = (f"{entry.contract.service}/{kind.value}", name)
        if key not in self._policies:
            self._policies[key] = policies.choice_policies.get(name)(
                self._random
            )
        return self._policies[key]


def _may_be_busy(
    upstream: contracts.Upstream, chosen: policies.Candidate
) -> bool:
    """Tells whether it is worth asking for a slot that is free now.

    Reports are older than most requests run for. But once the least loaded
    has a queue, all are likely to be busy, and asking would only add to the
    work of hosts under overload.
    """
    return chosen.load <= upstream.slots
