"""The table that keeps a non-idempotent request from running twice."""

from __future__ import annotations

import functools

from persimmonhinge import ids
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_entry as entries
from persimmonhinge.upstreams import executed_rows
from persimmonhinge.upstreams import job as jobs
from persimmonhinge.upstreams import uptimes as home_uptimes

# How far a dispatch may lag behind the home's newest one. A refused
# dispatch needs to be remembered only for so long.
MOST_DISPATCH_AGE_MS = 5_000
MOST_ENTRIES = 100_000
MOST_ANSWER_OCTETS = 64 * 1024 * 1024

_State = entries.EntryState
_Outcome = work.Outcome


class ExecutedTable:
    """Remembers each non-idempotent request until its ticket has expired.

    A row is written before the request leaves for the upstream. It is
    forgotten only once the home's uptime is surely above the expiry of the
    ticket; from then on no question about the ticket is answered with "not
    run", because the row may have been there. Rows are never evicted: a
    full table takes no new work.
    """

    def __init__(
        self,
        uptimes: home_uptimes.Uptimes,
        most_entries: int = MOST_ENTRIES,
        most_answer_octets: int = MOST_ANSWER_OCTETS,
    ) -> None:
        self.uptimes = uptimes
        self._most_entries = most_entries
        self._most_answer_octets = most_answer_octets
        self._rows = executed_rows.ExecutedRows()

    def __len__(self) -> int:
        return len(self._rows)

    @property
    def is_full(self) -> bool:
        """True if it takes no new row."""
        if len(self._rows) >= self._most_entries:
            return True
        return self._rows.answer_octets >= self._most_answer_octets

    def check(
        self, dispatch: work.Dispatch
    ) -> entries.ExecutedEntry | work.Dispatched | None:
        """Tells what is to be done with a dispatch.

        Returns:
            The row to wait for or to answer from; the final outcome if it
            must not run; None if it may run, once `begin` was called.
        """
        self.uptimes.note(dispatch.home, dispatch.home_uptime_ms)
        self.forget_expired(dispatch.home)
        found = self._find_for(dispatch)
        if found is not None:
            return self._judge(found, dispatch)
        return self._refuse_unknown(dispatch)

    def begin(self, dispatch: work.Dispatch, job: jobs.Job) -> None:
        """Writes the row of a job that is about to wait or to run."""
        entry = entries.ExecutedEntry(
            _make_key(dispatch),
            dispatch.home,
            dispatch.ticket_expiry_ms,
            _State.PENDING,
        )
        entry.job = job
        job.on_finish = functools.partial(self.end, dispatch)
        self._rows.put(entry, entry.expiry_ms)

    def end(self, dispatch: work.Dispatch, outcome: work.Dispatched) -> None:
        """Keeps the outcome of a job, or that it was refused."""
        entry = self._rows.get(_make_key(dispatch))
        if entry is None or entry.state is not _State.PENDING:
            return
        entry.job = None
        if outcome.outcome in (_Outcome.ANSWERED, _Outcome.UNKNOWN):
            entry.state = _State.ENDED
            entry.outcome = outcome
            self._rows.answer_octets += entry.answer_octets
            return
        refused = entries.ExecutedEntry(
            entry.key, entry.home, entry.expiry_ms, _State.REFUSED
        )
        refused.upstream = dispatch.upstream
        refused.refused_at_ms = dispatch.home_uptime_ms
        due_ms = dispatch.home_uptime_ms + MOST_DISPATCH_AGE_MS + 1
        self._rows.put(refused, min(due_ms, entry.expiry_ms))

    def recover(
        self, question: work.Recover
    ) -> entries.ExecutedEntry | work.Dispatched:
        """Tells what became of a request, and fences it if it did not run.

        Returns:
            The row to wait for or to answer from, or the final outcome.
        """
        self.uptimes.note_ticket(question.home, question.ticket_expiry_ms)
        self.forget_expired(question.home)
        known = self._find_all(question)
        ran = [entry for entry in known if _may_have_run(entry)]
        if len(ran) > 1:
            # The caller used its token for several requests and did not
            # show again which one it means.
            return _unknown("several requests have this token")
        if ran:
            return ran[0]
        if self._is_expired(question.home, question.ticket_expiry_ms):
            return _unknown("ticket has expired")
        fence = entries.ExecutedEntry(
            entries.ExecutedKey(
                question.ticket, question.token, question.digest
            ),
            question.home,
            question.ticket_expiry_ms,
            _State.FENCED,
        )
        if self.is_full and self._rows.get(fence.key) is None:
            return _unknown("table is full")
        self._rows.put(fence, fence.expiry_ms)
        return _not_run("did not run here and will not")

    def forget_expired(self, home: ids.HostRef) -> None:
        """Forgets the rows of a home that may be forgotten."""
        uptime_ms = self.uptimes.read(home)
        for entry in self._rows.take_due(home, uptime_ms):
            if entry.state is _State.PENDING:
                self._rows.plan(entry, uptime_ms + MOST_DISPATCH_AGE_MS)
            else:
                self._rows.drop(entry)

    def forget_all_expired(self) -> None:
        """Forgets all rows that may be forgotten."""
        for home in self._rows.list_homes():
            self.forget_expired(home)

    def list_lasting(self) -> list[entries.ExecutedEntry]:
        """Returns the rows that a successor needs, pending ones not."""
        return [
            entry
            for entry in self._rows
            if entry.state in (_State.ENDED, _State.FENCED)
        ]

    def take(self, entry: entries.ExecutedEntry) -> bool:
        """Takes in a row of a former keeper.

        Returns:
            False if the table is full.
        """
        known = self._rows.get(entry.key)
        if known is not None and _may_have_run(known):
            return True
        if self.is_full:
            return False
        self._rows.put(entry, entry.expiry_ms)
        return True

    def _judge(
        self, found: entries.ExecutedEntry, dispatch: work.Dispatch
    ) -> entries.ExecutedEntry | work.Dispatched | None:
        if found.state is _State.FENCED:
            return _not_run("was declared not run")
        if found.state is not _State.REFUSED:
            return found
        # Guards against a request that runs after its caller was told that
        # it did not: a copy of the refused dispatch may still come out of a
        # link that was lost. Such a copy left the home no later than the
        # one that was refused, so only a dispatch sent later may run. One
        # for another upstream in the same millisecond is a new attempt.
        later = dispatch.home_uptime_ms > found.refused_at_ms
        same_time = dispatch.home_uptime_ms == found.refused_at_ms
        if later or (same_time and dispatch.upstream != found.upstream):
            return self._refuse_unknown(dispatch)
        return _not_run("an earlier attempt was refused")

    def _refuse_unknown(
        self, dispatch: work.Dispatch
    ) -> work.Dispatched | None:
        if self._is_expired(dispatch.home, dispatch.ticket_expiry_ms):
            # It may have run and been forgotten.
            return _unknown("ticket has expired")
        age_ms = self.uptimes.read(dispatch.home) - dispatch.home_uptime_ms
        if age_ms > MOST_DISPATCH_AGE_MS:
            # It comes out of a link that stood still. An attempt that was
            # refused in between may have been forgotten by now.
            return _not_run("dispatch is too old")
        if self.is_full:
            return _not_run("table of requests is full", retry_after_s=1)
        return None

    def _is_expired(self, home: ids.HostRef, expiry_ms: int) -> bool:
        return self.uptimes.read(home) >= expiry_ms

    def _find_for(
        self, dispatch: work.Dispatch
    ) -> entries.ExecutedEntry | None:
        key = _make_key(dispatch)
        found = self._rows.get(key)
        if found is not None and found.state is not _State.REFUSED:
            return found
        fence = self._rows.get(entries.ExecutedKey(key.ticket, key.token, b""))
        return fence or found

    def _find_all(self, question: work.Recover) -> list[entries.ExecutedEntry]:
        rows = self._rows.get_all(question.ticket, question.token)
        if not question.digest:
            return list(rows.values())
        entry = rows.get(question.digest)
        return [] if entry is None else [entry]


def _make_key(dispatch: work.Dispatch) -> entries.ExecutedKey:
    return entries.ExecutedKey(dispatch.ticket, dispatch.token, dispatch.digest)


def _may_have_run(entry: entries.ExecutedEntry) -> bool:
    return entry.state in (_State.PENDING, _State.ENDED)


def _not_run(reason: str, retry_after_s: int = 0) -> work.Dispatched:
    return work.Dispatched(
        _Outcome.NOT_RUN, retry_after_s=retry_after_s, reason=reason
    )


def _unknown(reason: str) -> work.Dispatched:
    return work.Dispatched(_Outcome.UNKNOWN, reason=reason)
