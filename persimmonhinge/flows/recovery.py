"""Queries keepers for requests whose outcome the home does not have."""

from __future__ import annotations

from collections.abc import Sequence
import logging
import math

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import store
from persimmonhinge.flows import caller_request
from persimmonhinge.flows import liveness
from persimmonhinge.membership import placement as placement_module
from persimmonhinge.membership import view as view_module
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import work

logger = logging.getLogger(__name__)

# A keeper that still runs the request answers when it has finished. A query
# therefore waits until the caller's deadline, and at least this long.
MIN_ANSWER_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.2
# Pause between rounds of queries while a keeper is unreachable.
_ROUND_PAUSE_S = 0.5

Outcome = work.Outcome
Liveness = liveness.Liveness
# Result that each keeper of a ticket reported; None if it did not answer.
Findings = dict[ids.HostRef, work.Dispatched | None]


class Recovery:
    """Queries the keepers that a ticket names for the outcome of a request.

    Only these keepers can have run the request, so together they determine
    its outcome: either one of them has the answer, or all of them promise
    that the request did not run and never will. While one of them may become
    reachable again, they are queried in rounds until the caller's deadline.

    Guards against an "unknown" reply from one side of a network partition for
    a request that the other side runs and answers: the caller's packets reach
    both sides, and the side that can't reach the keeper would reply first.
    There is no wait for a keeper incarnation that has ended, so the caller
    gets its final reply without that delay.
    """

    def __init__(
        self,
        view: view_module.View,
        placement: placement_module.Placement,
        contract_store: store.ContractStore,
        network: network_module.PeerNetwork,
        counts: counts_module.Counts,
    ) -> None:
        self._view = view
        self._liveness = liveness.LivenessEstimator(view)
        self._placement = placement
        self._contracts = contract_store
        self._network = network
        self._counts = counts

    async def query_all_keepers(
        self, request: caller_request.CallerRequest
    ) -> work.Dispatched:
        """Queries all keepers of a request's ticket for its outcome.

        Returns:
            ANSWERED with the stored answer; NOT_RUN if all keepers report
            that the request did not run and promise that it never will;
            UNKNOWN otherwise.
        """
        found = await self._query_in_rounds(
            request, request.required_ticket.keepers
        )
        result = _combine_findings(list(found.values()))
        self._counts.add("home_recoveries_total", outcome=result.outcome.value)
        return result

    async def query_keeper(
        self, request: caller_request.CallerRequest, keeper: ids.HostRef
    ) -> work.Dispatched:
        """Queries one keeper for the outcome of a request."""
        found = await self._query_in_rounds(request, (keeper,))
        return found[keeper] or _make_unknown("keeper does not answer")

    async def _query_in_rounds(
        self,
        request: caller_request.CallerRequest,
        keepers: Sequence[ids.HostRef],
    ) -> Findings:
        """Queries keepers until no further round could change the result."""
        rounds = 1
        partition_seen_at = -math.inf
        while True:
            found = await self._query_each(request, keepers)
            now = trio.current_time()
            unanswered = self._assess_unanswered(found)
            if Liveness.PARTITIONED in unanswered:
                partition_seen_at = now
            is_partition_recent = (
                now < partition_seen_at + liveness.MAX_REFUTATION_DELAY_S
            )
            may_change = bool(unanswered) and (
                Liveness.ENDED not in unanswered or is_partition_recent
            )
            next_round_at = now + _ROUND_PAUSE_S
            if not may_change or next_round_at >= request.deadline:
                break
            rounds += 1
            await trio.sleep_until(next_round_at)
        self._log_findings(request, found, rounds, may_change=may_change)
        return found

    def _log_findings(
        self,
        request: caller_request.CallerRequest,
        found: Findings,
        rounds: int,
        *,
        may_change: bool,
    ) -> None:
        reported = {
            f"{keeper:08x}": dispatched.outcome.value
            if dispatched
            else "silent"
            for keeper, dispatched in found.items()
        }
        logger.info(
            "Queried the outcome of a request to service %s from caller"
            " %s:%d, token %s: keepers reported %s after %d rounds; %.1f s to"
            " the deadline, %s.",
            request.service,
            *request.flow.caller,
            request.token.hex(),
            reported,
            rounds,
            request.deadline - trio.current_time(),
            "another round could change the result"
            if may_change
            else "no further round could change the result",
        )

    async def _query_each(
        self,
        request: caller_request.CallerRequest,
        keepers: Sequence[ids.HostRef],
    ) -> Findings:
        """Queries keepers concurrently until one reports ANSWERED."""
        found: Findings = {}

        async def query(keeper: ids.HostRef) -> None:
            result = await self._query_keeper_or_successor(request, keeper)
            found[keeper] = result
            if result is not None and result.outcome is Outcome.ANSWERED:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for keeper in keepers:
                nursery.start_soon(query, keeper)
        return found

    def _assess_unanswered(self, found: Findings) -> set[liveness.Liveness]:
        """Assesses the keepers whose missing answers could decide the result.

        Returns:
            Liveness of the keepers that did not answer; an empty set if
            another round can't change the result.
        """
        reported = [dispatched for dispatched in found.values() if dispatched]
        if any(d.outcome is not Outcome.NOT_RUN for d in reported):
            return set()
        return {
            self._liveness.assess(keeper)
            for keeper, result in found.items()
            if result is None
        }

    async def _query_keeper_or_successor(
        self, request: caller_request.CallerRequest, keeper: ids.HostRef
    ) -> work.Dispatched | None:
        """Queries a keeper, or the host that took over its table.

        After a keeper has left, the host that took over its table answers for
        it. That host is one of the current keepers of the service. All other
        hosts answer NOT_KEEPER, which says nothing about the request.

        Returns:
            None if no host answers for the keeper.
        """
        message = _build_query(request, keeper)
        member = self._view.find_by_ref(keeper)
        if member is not None:
            result = await self._query_host(
                member.host, message, request.deadline
            )
            if result is not None:
                return result
        return await self._query_successors(request, message)

    async def _query_successors(
        self, request: caller_request.CallerRequest, message: work.Recover
    ) -> work.Dispatched | None:
        conclusive: work.Dispatched | None = None

        async def query(host: ids.HostId) -> None:
            nonlocal conclusive
            result = await self._query_host(host, message, request.deadline)
            if result is not None and result.outcome is not Outcome.UNKNOWN:
                conclusive = conclusive or result
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in self._list_current_keepers(request.service):
                nursery.start_soon(query, host)
        return conclusive

    def _list_current_keepers(
        self, service: ids.ServiceName
    ) -> set[ids.HostId]:
        entry = self._contracts.get(service)
        if entry is None:
            return set()
        hosts = set()
        for upstream in entry.contract.upstreams:
            key = ids.UpstreamId(f"{service}/{upstream.id}")
            member = self._placement.find_keeper(key, upstream.domain)
            if member is not None:
                hosts.add(member.host)
        return hosts

    async def _query_host(
        self, host: ids.HostId, message: work.Recover, deadline: float
    ) -> work.Dispatched | None:
        """Queries a host; returns None if it sends no valid answer."""
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await trio.sleep(_RETRY_PAUSE_S)
            remaining_s = deadline - trio.current_time()
            try:
                answer = await self._network.call(
                    host, message, max(remaining_s, MIN_ANSWER_TIMEOUT_S)
                )
            except errors.PeerCallTimeoutError:
                break
            except errors.PeerError:
                # A query may safely be repeated, and a new link may be
                # available by then.
                continue
            if isinstance(answer, work.Dispatched):
                return _normalize_answer(answer)
            break
        return None


def _build_query(
    request: caller_request.CallerRequest, keeper: ids.HostRef
) -> work.Recover:
    key = request.row_key
    return work.Recover(
        request.service,
        key.ticket,
        key.token,
        key.digest,
        key.home,
        request.required_ticket.expiry_ms,
        keeper,
    )


def _combine_findings(found: list[work.Dispatched | None]) -> work.Dispatched:
    for dispatched in found:
        if dispatched and dispatched.outcome is Outcome.ANSWERED:
            return dispatched
    if found and all(d and d.outcome is Outcome.NOT_RUN for d in found):
        return work.Dispatched(
            Outcome.NOT_RUN, reason="its home died before it ran"
        )
    return _make_unknown("its home died")


def _normalize_answer(answer: work.Dispatched) -> work.Dispatched:
    """Replaces every outcome but ANSWERED and NOT_RUN by UNKNOWN.

    One of these is NOT_KEEPER, which another incarnation of the queried host
    sends.
    """
    if answer.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        return answer
    return _make_unknown(answer.reason or "keeper does not know")


def _make_unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(Outcome.UNKNOWN, reason=reason)
