"""Writes changes of operators, each once and with its audit entry."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import backoff
from persimmonhinge.contracts import outcome
from persimmonhinge.contracts import plan as plans
from persimmonhinge.contracts import request as requests
from persimmonhinge.store import port

logger = logging.getLogger(__name__)

Planner = Callable[[], Awaitable[plans.Plan | None]]
_FIRST_WAIT_S = 0.02
_MOST_WAIT_S = 1.0
_REFUSALS = (errors.ContractError, errors.ConflictError, errors.KeyRingError)
# Time in which a change has to be settled, seconds.
DEFAULT_LIMIT_S = 15.0


class ChangeWriter:
    """Runs one change at a time against the platform, through lost answers.

    Attributes:
        trail: The audit trail.
    """

    def __init__(
        self,
        platform: port.Platform,
        trail: audit_trail.AuditTrail,
        limit_s: float = DEFAULT_LIMIT_S,
    ) -> None:
        self._platform = platform
        self.trail = trail
        self._limit_s = limit_s

    async def run(
        self, request: requests.ChangeRequest, planner: Planner
    ) -> audit.AuditRecord | None:
        """Plans and writes until it took effect or is refused.

        Guards against a decision on old knowledge: the planner reads after
        the head of the audit trail was read, and the transaction holds only
        if the head has not changed since. A change of anything in between
        makes the write fail, and the planner looks again.

        Args:
            request: Who asks.
            planner: Reads what stands and returns the plan; None if there
                is nothing to do; raises to refuse.

        Returns:
            The record of the change, None if there was nothing to do.

        Raises:
            OutcomeUnknownError: It may have taken effect.
            PlatformUnavailableError: It did not take effect.
            ConflictError: Others were faster each time.
        """
        found = await self._find(request)
        if found is not None:
            return found
        waits = _make_backoff()
        end = trio.current_time() + self._limit_s
        while trio.current_time() < end:
            state = await self.trail.read_head()
            try:
                plan = await planner()
            except _REFUSALS:
                # The first command of this id may have taken effect since it
                # was searched for, and be the very cause of the refusal.
                found = await self._find(request)
                if found is None:
                    raise
                return found
            if plan is None:
                return await self._find(request)
            record = await self._write(request, state, plan, end)
            if record is not None:
                return record
            await trio.sleep(waits.next_wait())
        raise errors.ConflictError(
            f"other changes came first for {self._limit_s} s",
            step="write change",
        )

    async def run_checked(
        self,
        request: requests.ChangeRequest,
        action: audit.AuditAction,
        target: str,
        planner: Planner,
    ) -> audit.AuditRecord | None:
        """Does what `run` does, and checks what a repeat has found.

        Raises:
            RequestIdReusedError: The request id belongs to a change of
                another kind or of something else.
        """
        record = await self.run(request, planner)
        if record is None or (record.action, record.target) == (action, target):
            return record
        raise outcome.RequestIdReusedError(
            f"the request id belongs to {record.describe()}",
            step="write change",
            peer=target,
        )

    async def _find(
        self, request: requests.ChangeRequest
    ) -> audit.AuditRecord | None:
        """Returns what an earlier command with the same id changed."""
        if not request.is_repeat:
            return None
        return await self.trail.find(request.request_id)

    async def _write(
        self,
        request: requests.ChangeRequest,
        state: audit_trail.HeadState,
        plan: plans.Plan,
        end: float,
    ) -> audit.AuditRecord | None:
        """Writes a plan; None if something else changed first.

        Guards against a change that is reported wrongly, or written twice,
        when the answer of the platform is lost. Its audit entry stands at a
        number known beforehand: once that number is taken, the entry tells
        whose change it was. While it is free the write may still be on its
        way; the same write is sent again, and as both copies need the same
        head only one can take effect.
        """
        entry = _make_entry(request, state, plan)
        compares = (self.trail.compare_head(state), *plan.compares)
        writes = (*plan.writes, *self.trail.extend(state, entry))
        waits = _make_backoff()
        while True:
            refused = False
            try:
                revision = await self._platform.write_if(compares, writes)
                if revision is not None:
                    return audit.AuditRecord(revision=revision, **dict(entry))
                refused = True
            except errors.PlatformUnavailableError as error:
                logger.info("A write got no answer: %s.", error)
            taken = await self._look_up(entry, end)
            if taken is not None:
                return taken if taken.request_id == entry.request_id else None
            if refused:
                return None
            _check_time(entry, end)
            await trio.sleep(waits.next_wait())

    async def _look_up(
        self, entry: audit.AuditEntry, end: float
    ) -> audit.AuditRecord | None:
        """Returns what stands at the number of an entry, None if nothing."""
        waits = _make_backoff()
        while True:
            try:
                return await self.trail.get(entry.sequence)
            except errors.PlatformUnavailableError as error:
                logger.info("Can't look a write up: %s.", error)
                _check_time(entry, end)
                await trio.sleep(waits.next_wait())


def _check_time(entry: audit.AuditEntry, end: float) -> None:
    if trio.current_time() >= end:
        raise outcome.OutcomeUnknownError(
            ids.RequestId(entry.request_id), peer=entry.target
        )


def _make_backoff() -> backoff.Backoff:
    return backoff.Backoff(_FIRST_WAIT_S, _MOST_WAIT_S, random.Random())


def _make_entry(
    request: requests.ChangeRequest,
    state: audit_trail.HeadState,
    plan: plans.Plan,
) -> audit.AuditEntry:
    return audit.AuditEntry(
        sequence=state.head.newest + 1,
        at=request.at,
        operator=request.operator,
        request_id=request.request_id,
        action=plan.action,
        target=plan.target,
        before=plan.before,
        after=plan.after,
        reason=request.reason,
    )
