"""Has orders run by keepers, and tries again where that is safe."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import store as stores
from persimmonhinge.flows import attempt as attempts
from persimmonhinge.flows import order as orders
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recoveries
from persimmonhinge.flows import retries
from persimmonhinge.flows import tickets
from persimmonhinge.metrics import counts as host_counts
from persimmonhinge.peers import network as networks
from persimmonhinge.peers.messages import work

logger = logging.getLogger(__name__)

# The keeper ends the work at the deadline and says what became of it; the
# answer needs a moment to get here.
_ANSWER_MARGIN_S = 1.0
# Hosts differ in contract or membership for this long, as a rule.
_CONVERGE_S = 0.05
_MOST_CONVERGE_S = 0.4
# So many upstreams are asked for a free slot before the work waits.
_MOST_QUESTIONS = 2
# Uptimes that a keeper compares count milliseconds.
_NEXT_UPTIME_S = 0.001
_RETRY_AFTER_S = 1

Outcome = work.Outcome
Source = attempts.AttemptSource
_REQUEST = contracts.CallKind.REQUEST
_NOWHERE = work.Dispatched(
    Outcome.NOT_RUN, retry_after_s=_RETRY_AFTER_S, reason="no upstream is free"
)
_ELSEWHERE = (Outcome.NOT_KEEPER, Outcome.STALE)


class _Course:
    """How far an order has come over its attempts.

    Attributes:
        last: What is told if there is no further attempt.
        exclude: Upstreams that are not tried again.
        among: Keepers that may run it; None for all.
        busy: Upstreams that had no free slot.
    """

    def __init__(self, order: orders.Order) -> None:
        self.busy: set[ids.UpstreamId] = set()
        self.last = _NOWHERE
        self.exclude: set[ids.UpstreamId] = set()
        self.among: frozenset[ids.HostRef] | None = None
        if order.ticket is not None:
            self.among = frozenset(order.ticket.keepers)
        self._pause_s = _CONVERGE_S

    def pass_over(self, keeper: ids.HostRef) -> None:
        """Leaves out a keeper that can't be reached."""
        if self.among is not None:
            self.among -= {keeper}

    def must_wait(self, choice: port.Choice) -> bool:
        """Tells whether the work is to wait for a slot where it goes next."""
        if choice.upstream.id in self.busy:
            return True
        return len(self.busy) >= _MOST_QUESTIONS or not choice.may_be_busy

    async def wait(self) -> None:
        """Waits for the hosts to agree, longer each time."""
        await trio.sleep(self._pause_s * random.uniform(0.5, 1.5))
        self._pause_s = min(2 * self._pause_s, _MOST_CONVERGE_S)


class Dispatcher:
    """Runs orders at the keepers that the chooser picks."""

    def __init__(
        self,
        contract_store: stores.ContractStore,
        chooser: port.Chooser,
        network: networks.PeerNetwork,
        mint: tickets.TicketMint,
        recovery: recoveries.Recovery,
        counts: host_counts.Counts,
    ) -> None:
        self._contracts = contract_store
        self._chooser = chooser
        self._network = network
        self._mint = mint
        self._recovery = recovery
        self._counts = counts
        self._budget = retries.RetryBudget()

    async def run(self, order: orders.Order) -> work.Dispatched:
        """Has an order run.

        Idempotent work may be tried again whatever happened. Work with a
        ticket is tried again only where the attempt surely did not run.

        Returns:
            ANSWERED, NOT_RUN or UNKNOWN.
        """
        course = _Course(order)
        self._earn(order)
        while True:
            if trio.current_time() >= order.deadline:
                return course.last
            entry = self._contracts.get(order.service)
            if entry is None or not _still_fits(order, entry):
                return course.last
            choice = self._chooser.choose(
                entry,
                _REQUEST,
                exclude=frozenset(course.exclude),
                keeper_refs=course.among,
            )
            if choice is None:
                return course.last
            if choice.upstream.id in course.busy:
                # The keeper takes a second dispatch for the same upstream
                # only if it left the home later than the refused one.
                await trio.sleep(_NEXT_UPTIME_S)
            waits = course.must_wait(choice)
            attempt = await self._attempt(order, entry, choice, waits=waits)
            if _is_final(order, attempt):
                return await self._settle(order, choice, attempt)
            if not await self._may_retry(order, course, choice, attempt):
                return course.last

    async def _may_retry(
        self,
        order: orders.Order,
        course: _Course,
        choice: port.Choice,
        attempt: attempts.Attempt,
    ) -> bool:
        """Prepares the next attempt; False if there may be none."""
        if attempt.dispatched.outcome in _ELSEWHERE:
            # Nothing ran, so it costs the upstreams nothing; the hosts
            # agree in a moment, whereas asking at once is in vain.
            await course.wait()
            return True
        if attempt.dispatched.outcome is Outcome.BUSY:
            # Nothing ran; the answer told the load, so the next choice is
            # made by what is true now.
            course.busy.add(ids.UpstreamId(choice.upstream.id))
            return True
        course.last = attempt.dispatched
        course.exclude.add(ids.UpstreamId(choice.upstream.id))
        if attempt.source is Source.UNREACHABLE:
            course.pass_over(choice.keeper_ref)
            return True
        if self._budget.spend(order.service):
            self._counts.add("home_retries_total")
            return True
        self._counts.add("home_retries_denied_total")
        return False

    def _earn(self, order: orders.Order) -> None:
        entry = self._contracts.get(order.service)
        if entry is not None:
            ratio = entry.contract.limits.retry_budget
            self._budget.earn(order.service, ratio)

    async def _settle(
        self,
        order: orders.Order,
        choice: port.Choice,
        attempt: attempts.Attempt,
    ) -> work.Dispatched:
        """Returns the final outcome of an attempt.

        Guards against an outcome that is unknown only because a link broke:
        the keeper may still be there and know.
        """
        if attempt.source is not Source.LINK or order.ticket is None:
            return attempt.dispatched
        return await self._recovery.ask_keeper(order, choice.keeper_ref)

    async def _attempt(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        choice: port.Choice,
        *,
        waits: bool,
    ) -> attempts.Attempt:
        upstream = ids.UpstreamId(choice.upstream.id)
        message = self._write_dispatch(order, entry, upstream, waits=waits)
        timeout_s = order.deadline - trio.current_time() + _ANSWER_MARGIN_S
        self._chooser.record_start(order.service, upstream, _REQUEST)
        try:
            answer = await self._network.call(choice.keeper, message, timeout_s)
        except errors.PeerUnreachableError:
            return _fail(Outcome.NOT_RUN, Source.UNREACHABLE)
        except errors.PeerError:
            return _fail(Outcome.UNKNOWN, Source.LINK)
        finally:
            self._chooser.record_end(order.service, upstream, _REQUEST)
        if not isinstance(answer, work.Dispatched):
            return _fail(Outcome.UNKNOWN, Source.LINK)
        if answer.load is not None:
            self._chooser.record_load(order.service, answer.load)
        self._counts.add("home_dispatched_total", outcome=answer.outcome.value)
        return attempts.Attempt(answer, Source.KEEPER)

    def _write_dispatch(
        self,
        order: orders.Order,
        entry: stores.ContractEntry,
        upstream: ids.UpstreamId,
        *,
        waits: bool,
    ) -> work.Dispatch:
        call_class = order.call_class
        left_s = order.deadline - trio.current_time()
        plain = work.Dispatch(
            order.service,
            entry.revision,
            upstream,
            ids.CallClassName(call_class.name),
            order.request,
            max(1, int(left_s * 1000)),
            waits=waits,
        )
        if order.ticket is None:
            return plain
        key = order.key
        return msgspec.structs.replace(
            plain,
            idempotent=False,
            ticket=key.ticket,
            token=key.token,
            digest=key.digest,
            home=key.home,
            home_uptime_ms=self._mint.uptime_ms(),
            ticket_expiry_ms=order.ticket.expiry_ms,
        )


def _still_fits(order: orders.Order, entry: stores.ContractEntry) -> bool:
    """Tells whether an order may run under a newer contract.

    Guards against idempotent work that the contract has since declared not
    to be: it would run without a ticket. The caller comes back and is asked
    for one.
    """
    call_class = entry.contract.classify(
        order.method, order.path, observes=False
    )
    if call_class is None or order.ticket is not None:
        return True
    return not call_class.runs_at_most_once


def _is_final(order: orders.Order, attempt: attempts.Attempt) -> bool:
    outcome = attempt.dispatched.outcome
    if outcome is Outcome.ANSWERED:
        return True
    return outcome is Outcome.UNKNOWN and order.ticket is not None


def _fail(outcome: Outcome, source: Source) -> attempts.Attempt:
    reason = "keeper can't be reached"
    dispatched = work.Dispatched(
        outcome, retry_after_s=_RETRY_AFTER_S, reason=reason
    )
    return attempts.Attempt(dispatched, source)
