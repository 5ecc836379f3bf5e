"""Asks keepers what became of requests whose outcome is not known."""

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

# A keeper that still runs the request answers once it is done, so it is
# waited for as long as the caller waits, and at least this long.
MIN_ANSWER_TIMEOUT_S = 1.0
_MAX_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.2
# Between rounds of questions while a keeper can't be reached.
_ROUND_PAUSE_S = 0.5

Outcome = work.Outcome
Liveness = liveness.Liveness
# What each keeper of a ticket says; None without an answer.
Findings = dict[ids.HostRef, work.Dispatched | None]


class Recovery:
    """Asks the keepers that a ticket names.

    Only they can have run its work, so they can tell together: one has the
    answer, or all promise that it did not run and never will. While one of
    them may come back, they are asked again until the caller's deadline.
    Guards against "unknown" from one side of a cut for a request that the
    other side runs and answers: the caller's packets reach both sides, and
    the side that can't reach the keeper would be the first to speak. A keeper
    that is gone is not waited for: the caller gets its final answer at once.
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
        """Returns what the keepers of an order's ticket know of it.

        Returns:
            ANSWERED with the kept answer; NOT_RUN if all keepers say and
            promise so; UNKNOWN otherwise.
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
        """Returns what one keeper knows of an order."""
        found = await self._query_in_rounds(request, (keeper,))
        return found[keeper] or _make_unknown("keeper does not answer")

    async def _query_in_rounds(
        self,
        request: caller_request.CallerRequest,
        keepers: Sequence[ids.HostRef],
    ) -> Findings:
        """Asks keepers until another round could change nothing."""
        rounds = 1
        partition_seen_at = -math.inf
        while True:
            found = await self._query_each(request, keepers)
            now = trio.current_time()
            unanswered = self._assess_unanswered(found)
            if Liveness.PARTITIONED in unanswered:
                partition_seen_at = now
            may_have_healed = (
                now < partition_seen_at + liveness.PARTITION_RECOVERY_S
            )
            may_change = bool(unanswered) and (
                Liveness.ENDED not in unanswered or may_have_healed
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
        told = {
            f"{keeper:08x}": dispatched.outcome.value
            if dispatched
            else "silent"
            for keeper, dispatched in found.items()
        }
        logger.info(
            "Outcome of %s of %s:%d, token %s: keepers say %s after %d rounds;"
            " %.1f s left, %s.",
            request.service,
            *request.flow.caller,
            request.token.hex(),
            told,
            rounds,
            request.deadline - trio.current_time(),
            "some may return" if may_change else "none may return",
        )

    async def _query_each(
        self,
        request: caller_request.CallerRequest,
        keepers: Sequence[ids.HostRef],
    ) -> Findings:
        """Returns what keepers say; the first answer ends the questions."""
        found: Findings = {}

        async def ask(keeper: ids.HostRef) -> None:
            told = await self._query_keeper_or_successor(request, keeper)
            found[keeper] = told
            if told is not None and told.outcome is Outcome.ANSWERED:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for keeper in keepers:
                nursery.start_soon(ask, keeper)
        return found

    def _assess_unanswered(self, found: Findings) -> set[liveness.Liveness]:
        """Returns what is believed of silent keepers that could still tell.

        Returns:
            An empty set if another round can't change the conclusion.
        """
        told = [dispatched for dispatched in found.values() if dispatched]
        if any(d.outcome is not Outcome.NOT_RUN for d in told):
            return set()
        return {
            self._liveness.assess(keeper)
            for keeper, told in found.items()
            if told is None
        }

    async def _query_keeper_or_successor(
        self, request: caller_request.CallerRequest, keeper: ids.HostRef
    ) -> work.Dispatched | None:
        """Returns what one keeper knows; None if nobody answers for it.

        Where the keeper has left, the host that took over what it knew
        answers for it. That is one of the present keepers of the service;
        any other host answers NOT_KEEPER, which tells nothing.
        """
        message = _build_query(request, keeper)
        member = self._view.find_ref(keeper)
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
        known: work.Dispatched | None = None

        async def ask(host: ids.HostId) -> None:
            nonlocal known
            result = await self._query_host(host, message, request.deadline)
            if result is not None and result.outcome is not Outcome.UNKNOWN:
                known = known or result
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in self._list_current_keepers(request.service):
                nursery.start_soon(ask, host)
        return known

    def _list_current_keepers(
        self, service: ids.ServiceName
    ) -> set[ids.HostId]:
        entry = self._contracts.get(service)
        if entry is None:
            return set()
        found = set()
        for upstream in entry.contract.upstreams:
            key = ids.UpstreamId(f"{service}/{upstream.id}")
            member = self._placement.find_keeper(key, upstream.domain)
            if member is not None:
                found.add(member.host)
        return found

    async def _query_host(
        self, host: ids.HostId, message: work.Recover, deadline: float
    ) -> work.Dispatched | None:
        """Returns what a host says; None if it gives no answer."""
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
                # A question may be asked twice; a new link may come up.
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
    """Takes NOT_KEEPER, from another incarnation of the host, as unknown."""
    if answer.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        return answer
    return _make_unknown(answer.reason or "keeper does not know")


def _make_unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(Outcome.UNKNOWN, reason=reason)
