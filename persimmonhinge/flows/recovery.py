"""Asks keepers what became of requests whose outcome is not known."""

from __future__ import annotations

from collections.abc import Sequence
import logging
import math

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import order as orders
from persimmonhinge.flows import presence as presences
from persimmonhinge.membership import placement as placements
from persimmonhinge.membership import view as views
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work

logger = logging.getLogger(__name__)

# A keeper that still runs the request answers once it is done, so it is
# waited for as long as the caller waits, and at least this long.
LEAST_WAIT_S = 1.0
_ATTEMPTS = 3
_PAUSE_S = 0.2
# Between rounds of questions while a keeper can't be reached.
_ROUND_PAUSE_S = 0.5

Outcome = work.Outcome
Presence = presences.Presence
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
        view: views.View,
        placement: placements.Placement,
        contract_store: stores.ContractStore,
        network: networks.PeerNetwork,
        counts: host_counts.Counts,
    ) -> None:
        self._view = view
        self._presence = presences.PresenceJudge(view)
        self._placement = placement
        self._contracts = contract_store
        self._network = network
        self._counts = counts

    async def ask_all(self, order: orders.Order) -> work.Dispatched:
        """Returns what the keepers of an order's ticket know of it.

        Returns:
            ANSWERED with the kept answer; NOT_RUN if all keepers say and
            promise so; UNKNOWN otherwise.
        """
        found = await self._ask_in_rounds(order, order.held_ticket.keepers)
        result = _conclude(list(found.values()))
        self._counts.add("home_recoveries_total", outcome=result.outcome.value)
        return result

    async def ask_keeper(
        self, order: orders.Order, keeper: ids.HostRef
    ) -> work.Dispatched:
        """Returns what one keeper knows of an order."""
        found = await self._ask_in_rounds(order, (keeper,))
        return found[keeper] or _unknown("keeper does not answer")

    async def _ask_in_rounds(
        self, order: orders.Order, keepers: Sequence[ids.HostRef]
    ) -> Findings:
        """Asks keepers until another round could change nothing."""
        rounds = 1
        cut_seen_at = -math.inf
        while True:
            found = await self._ask_each(order, keepers)
            now = trio.current_time()
            silent = self._judge_silent(found)
            if Presence.BEYOND_CUT in silent:
                cut_seen_at = now
            healed = now < cut_seen_at + presences.REJOIN_S
            may_change = bool(silent) and (
                Presence.GONE not in silent or healed
            )
            again_at = now + _ROUND_PAUSE_S
            if not may_change or again_at >= order.deadline:
                break
            rounds += 1
            await trio.sleep_until(again_at)
        self._log_findings(order, found, rounds, may_change=may_change)
        return found

    def _log_findings(
        self,
        order: orders.Order,
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
            order.service,
            *order.flow.caller,
            order.token.hex(),
            told,
            rounds,
            order.deadline - trio.current_time(),
            "some may return" if may_change else "none may return",
        )

    async def _ask_each(
        self, order: orders.Order, keepers: Sequence[ids.HostRef]
    ) -> Findings:
        """Returns what keepers say; the first answer ends the questions."""
        found: Findings = {}

        async def ask(keeper: ids.HostRef) -> None:
            told = await self._find(order, keeper)
            found[keeper] = told
            if told is not None and told.outcome is Outcome.ANSWERED:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for keeper in keepers:
                nursery.start_soon(ask, keeper)
        return found

    def _judge_silent(self, found: Findings) -> set[presences.Presence]:
        """Returns what is believed of silent keepers that could still tell.

        Returns:
            An empty set if another round can't change the conclusion.
        """
        told = [dispatched for dispatched in found.values() if dispatched]
        if any(d.outcome is not Outcome.NOT_RUN for d in told):
            return set()
        return {
            self._presence.judge(keeper)
            for keeper, told in found.items()
            if told is None
        }

    async def _find(
        self, order: orders.Order, keeper: ids.HostRef
    ) -> work.Dispatched | None:
        """Returns what one keeper knows; None if nobody answers for it.

        Where the keeper has left, the host that took over what it knew
        answers for it. That is one of the present keepers of the service;
        any other host answers NOT_KEEPER, which tells nothing.
        """
        message = _write_question(order, keeper)
        member = self._view.find_ref(keeper)
        if member is not None:
            result = await self._ask(member.host, message, order.deadline)
            if result is not None:
                return result
        return await self._ask_successors(order, message)

    async def _ask_successors(
        self, order: orders.Order, message: work.Recover
    ) -> work.Dispatched | None:
        known: work.Dispatched | None = None

        async def ask(host: ids.HostId) -> None:
            nonlocal known
            result = await self._ask(host, message, order.deadline)
            if result is not None and result.outcome is not Outcome.UNKNOWN:
                known = known or result
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in self._list_keepers(order.service):
                nursery.start_soon(ask, host)
        return known

    def _list_keepers(self, service: ids.ServiceName) -> set[ids.HostId]:
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

    async def _ask(
        self, host: ids.HostId, message: work.Recover, deadline: float
    ) -> work.Dispatched | None:
        """Returns what a host says; None if it gives no answer."""
        for attempt in range(_ATTEMPTS):
            if attempt:
                await trio.sleep(_PAUSE_S)
            left_s = deadline - trio.current_time()
            try:
                answer = await self._network.call(
                    host, message, max(left_s, LEAST_WAIT_S)
                )
            except errors.PeerCallTimeoutError:
                break
            except errors.PeerError:
                # A question may be asked twice; a new link may come up.
                continue
            if isinstance(answer, work.Dispatched):
                return _check(answer)
            break
        return None


def _write_question(order: orders.Order, keeper: ids.HostRef) -> work.Recover:
    key = order.key
    return work.Recover(
        order.service,
        key.ticket,
        key.token,
        key.digest,
        key.home,
        order.held_ticket.expiry_ms,
        keeper,
    )


def _conclude(found: list[work.Dispatched | None]) -> work.Dispatched:
    for dispatched in found:
        if dispatched and dispatched.outcome is Outcome.ANSWERED:
            return dispatched
    if found and all(d and d.outcome is Outcome.NOT_RUN for d in found):
        return work.Dispatched(
            Outcome.NOT_RUN, reason="its home died before it ran"
        )
    return _unknown("its home died")


def _check(answer: work.Dispatched) -> work.Dispatched:
    """Takes NOT_KEEPER, from another incarnation of the host, as unknown."""
    if answer.outcome in (Outcome.ANSWERED, Outcome.NOT_RUN):
        return answer
    return _unknown(answer.reason or "keeper does not know")


def _unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(Outcome.UNKNOWN, reason=reason)
