"""Has orders run by keepers, and tries again where that is safe."""

from __future__ import annotations

import logging
import random

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import attempt as attempt_module
from persimmonhinge.flows import caller_request
from persimmonhinge.flows import port
from persimmonhinge.flows import recovery as recovery_module
from persimmonhinge.flows import retries
from persimmonhinge.flows import tickets
from persimmonhinge.metrics import counts as counts_module
from persimmonhinge.peers import network as network_module
from persimmonhinge.peers.messages import work

logger = logging.getLogger(__name__)

# The keeper ends the work at the deadline and says what became of it; the
# answer needs a moment to get here.
_ANSWER_MARGIN_S = 1.0
# Hosts differ in contract or membership for this long, as a rule.
_INITIAL_CONVERGENCE_PAUSE_S = 0.05
_MAX_CONVERGENCE_PAUSE_S = 0.4
# So many upstreams are asked for a free slot before the work waits.
_MAX_FREE_SLOT_QUERIES = 2
# Uptimes that a keeper compares count milliseconds.
_UPTIME_RESOLUTION_S = 0.001
_RETRY_AFTER_S = 1

Outcome = work.Outcome
Source = attempt_module.ResultSource
_REQUEST = contract.CallKind.REQUEST
_NO_UPSTREAM = work.Dispatched(
    Outcome.NOT_RUN, retry_after_s=_RETRY_AFTER_S, reason="no upstream is free"
)
_ROUTING_MISMATCHES = (Outcome.NOT_KEEPER, Outcome.STALE)


class _RetryState:
    """How far an order has come over its attempts.

    Attributes:
        last: What is told if there is no further attempt.
        exclude: Upstreams that are not tried again.
        among: Keepers that may run it; None for all.
        busy: Upstreams that had no free slot.
    """

    def __init__(self, request: caller_request.CallerRequest) -> None:
        self.busy_upstreams: set[ids.UpstreamId] = set()
        self.last_result = _NO_UPSTREAM
        self.excluded_upstreams: set[ids.UpstreamId] = set()
        self.allowed_keepers: frozenset[ids.HostRef] | None = None
        if request.ticket is not None:
            self.allowed_keepers = frozenset(request.ticket.keepers)
        self._pause_s = _INITIAL_CONVERGENCE_PAUSE_S

    def exclude_keeper(self, keeper: ids.HostRef) -> None:
        """Leaves out a keeper that can't be reached."""
        if self.allowed_keepers is not None:
            self.allowed_keepers -= {keeper}

    def must_wait(self, choice: port.Choice) -> bool:
        """Tells whether the work is to wait for a slot where it goes next."""
        if choice.upstream.id in self.busy_upstreams:
            return True
        return (
            len(self.busy_upstreams) >= _MAX_FREE_SLOT_QUERIES
            or not choice.may_be_busy
        )

    async def wait_for_convergence(self) -> None:
        """Waits for the hosts to agree, longer each time."""
        await trio.sleep(self._pause_s * random.uniform(0.5, 1.5))
        self._pause_s = min(2 * self._pause_s, _MAX_CONVERGENCE_PAUSE_S)


class Dispatcher:
    """Runs orders at the keepers that the chooser picks."""

    def __init__(
        self,
        contract_store: store.ContractStore,
        chooser: port.Chooser,
        network: network_module.PeerNetwork,
        mint: tickets.TicketMint,
        recovery: recovery_module.Recovery,
        counts: counts_module.Counts,
    ) -> None:
        self._contracts = contract_store
        self._chooser = chooser
        self._network = network
        self._mint = mint
        self._recovery = recovery
        self._counts = counts
        self._budget = retries.RetryBudget()

    async def run_request(
        self, request: caller_request.CallerRequest
    ) -> work.Dispatched:
        """Has an order run.

        Idempotent work may be tried again whatever happened. Work with a
        ticket is tried again only where the attempt surely did not run.

        Returns:
            ANSWERED, NOT_RUN or UNKNOWN.
        """
        state = _RetryState(request)
        self._refill_budget(request)
        while True:
            if trio.current_time() >= request.deadline:
                return state.last_result
            entry = self._contracts.get(request.service)
            if entry is None or not _is_still_allowed(request, entry):
                return state.last_result
            choice = self._chooser.choose(
                entry,
                _REQUEST,
                exclude=frozenset(state.excluded_upstreams),
                among=state.allowed_keepers,
            )
            if choice is None:
                return state.last_result
            if choice.upstream.id in state.busy_upstreams:
                # The keeper takes a second dispatch for the same upstream
                # only if it left the home later than the refused one.
                await trio.sleep(_UPTIME_RESOLUTION_S)
            waits = state.must_wait(choice)
            attempt = await self._attempt_dispatch(
                request, entry, choice, waits=waits
            )
            if _is_final(request, attempt):
                return await self._resolve_result(request, choice, attempt)
            if not await self._prepare_retry(request, state, choice, attempt):
                return state.last_result

    async def _prepare_retry(
        self,
        request: caller_request.CallerRequest,
        state: _RetryState,
        choice: port.Choice,
        attempt: attempt_module.AttemptResult,
    ) -> bool:
        """Prepares the next attempt; False if there may be none."""
        if attempt.dispatched.outcome in _ROUTING_MISMATCHES:
            # Nothing ran, so it costs the upstreams nothing; the hosts
            # agree in a moment, whereas asking at once is in vain.
            await state.wait_for_convergence()
            return True
        if attempt.dispatched.outcome is Outcome.BUSY:
            # Nothing ran; the answer told the load, so the next choice is
            # made by what is true now.
            state.busy_upstreams.add(ids.UpstreamId(choice.upstream.id))
            return True
        state.last_result = attempt.dispatched
        state.excluded_upstreams.add(ids.UpstreamId(choice.upstream.id))
        if attempt.source is Source.UNREACHABLE:
            state.exclude_keeper(choice.keeper_ref)
            return True
        if self._budget.spend(request.service):
            self._counts.add("home_retries_total")
            return True
        self._counts.add("home_retries_denied_total")
        return False

    def _refill_budget(self, request: caller_request.CallerRequest) -> None:
        entry = self._contracts.get(request.service)
        if entry is not None:
            ratio = entry.contract.limits.retry_budget
            self._budget.refill(request.service, ratio)

    async def _resolve_result(
        self,
        request: caller_request.CallerRequest,
        choice: port.Choice,
        attempt: attempt_module.AttemptResult,
    ) -> work.Dispatched:
        """Returns the final outcome of an attempt.

        Guards against an outcome that is unknown only because a link broke:
        the keeper may still be there and know.
        """
        if attempt.source is not Source.LINK_FAILURE or request.ticket is None:
            return attempt.dispatched
        return await self._recovery.query_keeper(request, choice.keeper_ref)

    async def _attempt_dispatch(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        choice: port.Choice,
        *,
        waits: bool,
    ) -> attempt_module.AttemptResult:
        upstream = ids.UpstreamId(choice.upstream.id)
        message = self._build_dispatch(request, entry, upstream, waits=waits)
        timeout_s = request.deadline - trio.current_time() + _ANSWER_MARGIN_S
        self._chooser.begin(request.service, upstream, _REQUEST)
        try:
            answer = await self._network.call(choice.keeper, message, timeout_s)
        except errors.PeerUnreachableError:
            return _make_failure(Outcome.NOT_RUN, Source.UNREACHABLE)
        except errors.PeerError:
            return _make_failure(Outcome.UNKNOWN, Source.LINK_FAILURE)
        finally:
            self._chooser.end(request.service, upstream, _REQUEST)
        if not isinstance(answer, work.Dispatched):
            return _make_failure(Outcome.UNKNOWN, Source.LINK_FAILURE)
        if answer.load is not None:
            self._chooser.note(request.service, answer.load)
        self._counts.add("home_dispatched_total", outcome=answer.outcome.value)
        return attempt_module.AttemptResult(answer, Source.KEEPER)

    def _build_dispatch(
        self,
        request: caller_request.CallerRequest,
        entry: store.ContractEntry,
        upstream: ids.UpstreamId,
        *,
        waits: bool,
    ) -> work.Dispatch:
        call_class = request.call_class
        remaining_s = request.deadline - trio.current_time()
        dispatch = work.Dispatch(
            request.service,
            entry.revision,
            upstream,
            ids.CallClassName(call_class.name),
            request.message,
            max(1, int(remaining_s * 1000)),
            waits=waits,
        )
        if request.ticket is None:
            return dispatch
        key = request.row_key
        return msgspec.structs.replace(
            dispatch,
            idempotent=False,
            ticket=key.ticket,
            token=key.token,
            digest=key.digest,
            home=key.home,
            home_uptime_ms=self._mint.uptime_ms(),
            ticket_expiry_ms=request.ticket.expiry_ms,
        )


def _is_still_allowed(
    request: caller_request.CallerRequest, entry: store.ContractEntry
) -> bool:
    """Tells whether an order may run under a newer contract.

    Guards against idempotent work that the contract has since declared not
    to be: it would run without a ticket. The caller comes back and is asked
    for one.
    """
    call_class = entry.contract.classify(
        request.method, request.path, observes=False
    )
    if call_class is None or request.ticket is not None:
        return True
    return not call_class.runs_at_most_once


def _is_final(
    request: caller_request.CallerRequest, attempt: attempt_module.AttemptResult
) -> bool:
    outcome = attempt.dispatched.outcome
    if outcome is Outcome.ANSWERED:
        return True
    return outcome is Outcome.UNKNOWN and request.ticket is not None


def _make_failure(
    outcome: Outcome, source: Source
) -> attempt_module.AttemptResult:
    reason = "keeper can't be reached"
    dispatched = work.Dispatched(
        outcome, retry_after_s=_RETRY_AFTER_S, reason=reason
    )
    return attempt_module.AttemptResult(dispatched, source)
