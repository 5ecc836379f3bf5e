"""Dispatches requests to keepers and retries them where that is safe."""

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

# A keeper ends a request at the deadline and then sends its outcome. This
# margin covers the time that the outcome takes to arrive.
_ANSWER_MARGIN_S = 1.0
# Pauses before a dispatch is repeated because hosts disagree about a contract
# or the membership. The hosts usually converge within the initial pause.
_INITIAL_CONVERGENCE_PAUSE_S = 0.05
_MAX_CONVERGENCE_PAUSE_S = 0.4
# Upstreams per request that are queried for a free slot before the request
# waits in a queue.
_MAX_FREE_SLOT_QUERIES = 2
# Keepers compare uptimes of homes in whole milliseconds.
_UPTIME_RESOLUTION_S = 0.001
_RETRY_AFTER_S = 1

Outcome = work.Outcome
ResultSource = attempt_module.ResultSource
_REQUEST = contract.CallKind.REQUEST
_NO_UPSTREAM = work.Dispatched(
    Outcome.NOT_RUN, retry_after_s=_RETRY_AFTER_S, reason="no upstream is free"
)
_ROUTING_MISMATCHES = (Outcome.NOT_KEEPER, Outcome.STALE)


class _RetryState:
    """Progress of one request over its dispatch attempts.

    Attributes:
        last_result: Result that is returned if no further attempt is made.
        excluded_upstreams: Upstreams that are not tried again.
        allowed_keepers: Keeper incarnations that may run the request; None
            for all keepers.
        busy_upstreams: Upstreams that had no free slot.
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
        """Excludes an unreachable keeper from further attempts."""
        if self.allowed_keepers is not None:
            self.allowed_keepers -= {keeper}

    def must_wait(self, choice: port.Choice) -> bool:
        """Tells whether the next dispatch waits if no slot is free."""
        if choice.upstream.id in self.busy_upstreams:
            return True
        return (
            len(self.busy_upstreams) >= _MAX_FREE_SLOT_QUERIES
            or not choice.may_be_busy
        )

    async def wait_for_convergence(self) -> None:
        """Waits for the hosts to converge, with an exponential backoff."""
        await trio.sleep(self._pause_s * random.uniform(0.5, 1.5))
        self._pause_s = min(2 * self._pause_s, _MAX_CONVERGENCE_PAUSE_S)


class Dispatcher:
    """Dispatches requests to the keepers that the chooser selects."""

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
        """Dispatches a request, with retries where they are safe.

        An idempotent request may be retried after any failure. A request
        with a ticket is retried only if the previous attempt certainly did
        not run.

        Returns:
            The result, with the outcome ANSWERED, NOT_RUN or UNKNOWN.
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
                keeper_refs=state.allowed_keepers,
            )
            if choice is None:
                return state.last_result
            if choice.upstream.id in state.busy_upstreams:
                # The keeper accepts a second dispatch to the same upstream
                # only if its home uptime is later than in the refused one.
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
        """Prepares the next attempt; returns False if none is allowed."""
        if attempt.dispatched.outcome in _ROUTING_MISMATCHES:
            # Nothing ran, so the retry adds no load to the upstreams. The
            # hosts converge soon; an immediate retry would fail again.
            await state.wait_for_convergence()
            return True
        if attempt.dispatched.outcome is Outcome.BUSY:
            # Nothing ran. The answer reported the load of the upstream, so
            # the next choice is based on its current load.
            state.busy_upstreams.add(ids.UpstreamId(choice.upstream.id))
            return True
        state.last_result = attempt.dispatched
        state.excluded_upstreams.add(ids.UpstreamId(choice.upstream.id))
        if attempt.source is ResultSource.UNREACHABLE:
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
        """Returns the final result of an attempt.

        Guards against an unknown outcome that is due only to a failed link:
        the keeper may still be running and have the outcome, so it is
        queried.
        """
        if (
            attempt.source is not ResultSource.LINK_FAILURE
            or request.ticket is None
        ):
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
        self._chooser.record_start(request.service, upstream, _REQUEST)
        try:
            answer = await self._network.call(choice.keeper, message, timeout_s)
        except errors.PeerUnreachableError:
            return _make_failure(Outcome.NOT_RUN, ResultSource.UNREACHABLE)
        except errors.PeerError:
            return _make_failure(Outcome.UNKNOWN, ResultSource.LINK_FAILURE)
        finally:
            self._chooser.record_end(request.service, upstream, _REQUEST)
        if not isinstance(answer, work.Dispatched):
            return _make_failure(Outcome.UNKNOWN, ResultSource.LINK_FAILURE)
        if answer.load is not None:
            self._chooser.record_load(request.service, answer.load)
        self._counts.add("home_dispatched_total", outcome=answer.outcome.value)
        return attempt_module.AttemptResult(answer, ResultSource.KEEPER)

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
    """Tells whether a request may run under a newer contract.

    Guards against running a non-idempotent request without a ticket, which
    would happen if a newer contract no longer declares its call class
    idempotent. The caller repeats the request and is asked for a ticket.
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
    outcome: Outcome, source: ResultSource
) -> attempt_module.AttemptResult:
    reason = "keeper can't be reached"
    dispatched = work.Dispatched(
        outcome, retry_after_s=_RETRY_AFTER_S, reason=reason
    )
    return attempt_module.AttemptResult(dispatched, source)
