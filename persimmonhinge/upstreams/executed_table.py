"""The table that prevents a non-idempotent request from running twice."""

from __future__ import annotations

import functools

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_row
from persimmonhinge.upstreams import executed_rows
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import uptimes as uptimes_module

# Maximum difference between the lower bound of the home's uptime and the
# uptime in a dispatch. Older dispatches are refused, so the row of a refused
# dispatch needs to be stored only for this long.
MAX_DISPATCH_AGE_MS = 5_000
MAX_ROWS = 100_000
MAX_ANSWER_OCTETS = 64 * 1024 * 1024

_State = executed_row.RowState
_Outcome = work.Outcome


class ExecutedTable:
    """Stores each non-idempotent request until its ticket has expired.

    A row is written before the request is sent to the upstream. It is
    removed only when the home's uptime has certainly passed the expiry of
    the ticket. After that, no query about the ticket is answered with "not
    run", because the row of the queried request may have been removed. Rows
    are never evicted: a full table accepts no new requests.
    """

    def __init__(
        self,
        uptimes: uptimes_module.Uptimes,
        max_rows: int = MAX_ROWS,
        max_answer_octets: int = MAX_ANSWER_OCTETS,
    ) -> None:
        self.uptimes = uptimes
        self._max_rows = max_rows
        self._max_answer_octets = max_answer_octets
        self._rows = executed_rows.ExecutedRows()

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def is_full(self) -> bool:
        """True if the table accepts no new rows."""
        if len(self._rows) >= self._max_rows:
            return True
        return self._rows.answer_octets >= self._max_answer_octets

    def check_dispatch(
        self, dispatch: work.Dispatch
    ) -> executed_row.ExecutedRow | work.Dispatched | None:
        """Decides whether a dispatched request may run.

        Returns:
            The row of an earlier copy, to wait for or to answer from; the
            final outcome if the request must not run; None if it may run
            after a call of `start_request`.
        """
        self.uptimes.record_uptime(dispatch.home, dispatch.home_uptime_ms)
        self.remove_expired(dispatch.home)
        existing = self._find_row(dispatch)
        if existing is not None:
            return self._check_existing(existing, dispatch)
        return self._refuse_unsafe(dispatch)

    def start_request(
        self, dispatch: work.Dispatch, job: job_module.Job
    ) -> None:
        """Adds the row of a job before the job is queued or started."""
        row = executed_row.ExecutedRow(
            _make_key(dispatch),
            dispatch.home,
            dispatch.ticket_expiry_ms,
            _State.PENDING,
        )
        row.job = job
        job.on_finish = functools.partial(self.finish_request, dispatch)
        self._rows.put(row, row.expiry_ms)

    def finish_request(
        self, dispatch: work.Dispatch, outcome: work.Dispatched
    ) -> None:
        """Stores the outcome of a job, or the fact that it was refused."""
        row = self._rows.get(_make_key(dispatch))
        if row is None or row.state is not _State.PENDING:
            return
        row.job = None
        if outcome.outcome in (_Outcome.ANSWERED, _Outcome.UNKNOWN):
            row.state = _State.ENDED
            row.outcome = outcome
            self._rows.answer_octets += row.answer_octets
            return
        refused = executed_row.ExecutedRow(
            row.key, row.home, row.expiry_ms, _State.REFUSED
        )
        refused.upstream = dispatch.upstream
        refused.refused_home_uptime_ms = dispatch.home_uptime_ms
        due_ms = dispatch.home_uptime_ms + MAX_DISPATCH_AGE_MS + 1
        self._rows.put(refused, min(due_ms, row.expiry_ms))

    def recover_request(
        self, query: work.Recover
    ) -> executed_row.ExecutedRow | work.Dispatched:
        """Looks up the outcome of a request and fences it if it did not run.

        Returns:
            The row to wait for or to answer from, or the final outcome.
        """
        self.uptimes.record_ticket_expiry(query.home, query.ticket_expiry_ms)
        self.remove_expired(query.home)
        existing = self._find_rows(query)
        started = [row for row in existing if _may_have_run(row)]
        if len(started) > 1:
            # The caller used its token for several requests, and the query
            # has no digest that would identify one of them.
            return _make_unknown("several requests have this token")
        if started:
            return started[0]
        if self._is_expired(query.home, query.ticket_expiry_ms):
            return _make_unknown("ticket has expired")
        fence = executed_row.ExecutedRow(
            executed_row.ExecutedKey(query.ticket, query.token, query.digest),
            query.home,
            query.ticket_expiry_ms,
            _State.FENCED,
        )
        if self.is_full and self._rows.get(fence.key) is None:
            return _make_unknown("table is full")
        self._rows.put(fence, fence.expiry_ms)
        return _make_not_run("did not run here and will not")

    def remove_expired(self, home: ids.HostRef) -> None:
        """Removes the rows of a home that are no longer needed.

        Pending rows stay and are checked again later.
        """
        uptime_ms = self.uptimes.get_lower_bound_ms(home)
        for row in self._rows.pop_due(home, uptime_ms):
            if row.state is _State.PENDING:
                self._rows.schedule_check(row, uptime_ms + MAX_DISPATCH_AGE_MS)
            else:
                self._rows.remove(row)

    def remove_all_expired(self) -> None:
        """Removes the rows of all homes that are no longer needed."""
        for home in self._rows.list_homes():
            self.remove_expired(home)

    def list_final_rows(self) -> list[executed_row.ExecutedRow]:
        """Returns the rows to hand over: those ENDED or FENCED."""
        return [
            row
            for row in self._rows
            if row.state in (_State.ENDED, _State.FENCED)
        ]

    def add_handed_over_row(self, row: executed_row.ExecutedRow) -> bool:
        """Adds a row that a former keeper handed over.

        Returns:
            False if the row was not stored because the table is full.
        """
        existing = self._rows.get(row.key)
        if existing is not None and _may_have_run(existing):
            return True
        if self.is_full:
            return False
        self._rows.put(row, row.expiry_ms)
        return True

    def _check_existing(
        self, existing: executed_row.ExecutedRow, dispatch: work.Dispatch
    ) -> executed_row.ExecutedRow | work.Dispatched | None:
        if existing.state is _State.FENCED:
            return _make_not_run("was declared not run")
        if existing.state is not _State.REFUSED:
            return existing
        # Guards against a request that runs after its caller has received
        # "not run": a copy of the refused dispatch may still arrive from a
        # link that was lost. The home sent such a copy no later than the
        # refused dispatch, so only a dispatch sent later may run. A dispatch
        # to another upstream in the same millisecond is a new attempt.
        sent_later = dispatch.home_uptime_ms > existing.refused_home_uptime_ms
        sent_at_same_time = (
            dispatch.home_uptime_ms == existing.refused_home_uptime_ms
        )
        if sent_later or (
            sent_at_same_time and dispatch.upstream != existing.upstream
        ):
            return self._refuse_unsafe(dispatch)
        return _make_not_run("an earlier attempt was refused")

    def _refuse_unsafe(self, dispatch: work.Dispatch) -> work.Dispatched | None:
        if self._is_expired(dispatch.home, dispatch.ticket_expiry_ms):
            # The request may have run, and its row may have been removed.
            return _make_unknown("ticket has expired")
        age_ms = (
            self.uptimes.get_lower_bound_ms(dispatch.home)
            - dispatch.home_uptime_ms
        )
        if age_ms > MAX_DISPATCH_AGE_MS:
            # The dispatch was delayed on a stalled link. An attempt that was
            # refused in the meantime may already have been removed from the
            # table.
            return _make_not_run("dispatch is too old")
        if self.is_full:
            return _make_not_run("table of requests is full", retry_after_s=1)
        return None

    def _is_expired(self, home: ids.HostRef, expiry_ms: int) -> bool:
        return self.uptimes.get_lower_bound_ms(home) >= expiry_ms

    def _find_row(
        self, dispatch: work.Dispatch
    ) -> executed_row.ExecutedRow | None:
        key = _make_key(dispatch)
        existing = self._rows.get(key)
        if existing is not None and existing.state is not _State.REFUSED:
            return existing
        fence = self._rows.get(
            executed_row.ExecutedKey(key.ticket, key.token, b"")
        )
        return fence or existing

    def _find_rows(self, query: work.Recover) -> list[executed_row.ExecutedRow]:
        rows = self._rows.get_by_token(query.ticket, query.token)
        if not query.digest:
            return list(rows.values())
        row = rows.get(query.digest)
        return [] if row is None else [row]


def _make_key(dispatch: work.Dispatch) -> executed_row.ExecutedKey:
    return executed_row.ExecutedKey(
        dispatch.ticket, dispatch.token, dispatch.digest
    )


def _may_have_run(row: executed_row.ExecutedRow) -> bool:
    return row.state in (_State.PENDING, _State.ENDED)


def _make_not_run(reason: str, retry_after_s: int = 0) -> work.Dispatched:
    return work.Dispatched(
        _Outcome.NOT_RUN, retry_after_s=retry_after_s, reason=reason
    )


def _make_unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.UNKNOWN, reason=reason)
