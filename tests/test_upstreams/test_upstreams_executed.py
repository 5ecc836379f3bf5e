"""Tests of the table that prevents requests from running twice."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import executed_row
from persimmonhinge.upstreams import executed_table
from persimmonhinge.upstreams import job as job_module
from persimmonhinge.upstreams import uptimes

Outcome = work.Outcome
_HOME = ids.HostRef(7)
_TICKET_LIFETIME_MS = 8_000
_CLASS = contract.CallClass(
    name="reservations", method=contract.Method.POST, path="/*"
)


class Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Returns the current time in seconds."""
        return self.now_s


def make_dispatch(
    number: int, uptime_ms: int, expiry_ms: int, upstream: str = "u1"
) -> work.Dispatch:
    """Returns the dispatch of a reservation.

    Args:
        number: Number of the reservation, stored in the digest.
        uptime_ms: Uptime of the home when it sent the dispatch.
        expiry_ms: Uptime of the home at which the ticket expires.
        upstream: Id of the upstream.
    """
    return work.Dispatch(
        ids.ServiceName("floor-trading"),
        ids.Revision(1),
        ids.UpstreamId(upstream),
        ids.CallClassName("reservations"),
        b"",
        1_000,
        idempotent=False,
        ticket=ids.TicketId(b"ticket"),
        token=b"token",
        digest=bytes([number]),
        home=_HOME,
        home_uptime_ms=uptime_ms,
        ticket_expiry_ms=expiry_ms,
    )


def make_recover(dispatch: work.Dispatch) -> work.Recover:
    """Returns the recovery query for a dispatched request."""
    return work.Recover(
        dispatch.service,
        dispatch.ticket,
        dispatch.token,
        dispatch.digest,
        dispatch.home,
        dispatch.ticket_expiry_ms,
    )


def make_job(dispatch: work.Dispatch) -> job_module.Job:
    """Returns the job of a dispatch."""
    return job_module.Job(dispatch, codec.Message(), _CLASS, 0.0, 0)


@dataclasses.dataclass
class Model:
    """A home, the table of its keeper, and the requests that really ran.

    Dispatches may be read late and more than once, as from a link that
    failed. The clocks of the home and of the keeper start at different
    times.

    Attributes:
        table: The table under test.
        clock: The keeper's clock.
        uptime_offset_ms: Uptime of the home at the start of the test.
        sent: All dispatches that the home has sent.
        running: Running jobs by digest.
        runs: Number of runs by digest.
        declared_not_run: Digests that were reported as not run.
    """

    table: executed_table.ExecutedTable
    clock: Clock
    uptime_offset_ms: int
    sent: list[work.Dispatch] = dataclasses.field(default_factory=list)
    running: dict[bytes, job_module.Job] = dataclasses.field(
        default_factory=dict
    )
    runs: dict[bytes, int] = dataclasses.field(default_factory=dict)
    declared_not_run: set[bytes] = dataclasses.field(default_factory=set)

    @property
    def uptime_ms(self) -> int:
        """Actual uptime of the home, milliseconds."""
        return self.uptime_offset_ms + int(self.clock.now_s * 1000)

    def send(self, number: int) -> None:
        """Sends a dispatch, which the keeper may read at any later time."""
        expiry_ms = self.uptime_offset_ms + _TICKET_LIFETIME_MS
        if self.uptime_ms < expiry_ms and bytes([number]) not in self.running:
            if bytes([number]) in self.declared_not_run:
                return
            self.sent.append(make_dispatch(number, self.uptime_ms, expiry_ms))

    def read_dispatch(self, index: int, *, has_slot: bool) -> None:
        """Has the keeper read a sent dispatch, for the first time or again."""
        if not self.sent:
            return
        dispatch = self.sent[index % len(self.sent)]
        verdict = self.table.check_dispatch(dispatch)
        if verdict is None:
            job = make_job(dispatch)
            self.table.start_request(dispatch, job)
            if has_slot:
                self._run(dispatch, job)
                return
            verdict = work.Dispatched(Outcome.NOT_RUN)
            job.finish(verdict)
        self._check_verdict(dispatch, verdict)

    def finish(self, number: int, outcome: work.Outcome) -> None:
        """Ends a running request with an answer or an unknown outcome."""
        job = self.running.pop(bytes([number]), None)
        if job is not None:
            job.finish(work.Dispatched(outcome, b"answer"))

    def recover(self, number: int) -> None:
        """Sends the recovery query of another host for a request."""
        expiry_ms = self.uptime_offset_ms + _TICKET_LIFETIME_MS
        dispatch = make_dispatch(number, 0, expiry_ms)
        found = self.table.recover_request(make_recover(dispatch))
        if isinstance(found, executed_row.ExecutedRow):
            assert self.runs.get(dispatch.digest, 0) == 1
            return
        if found.outcome is Outcome.NOT_RUN:
            assert dispatch.digest not in self.runs
            self.declared_not_run.add(dispatch.digest)

    def _run(self, dispatch: work.Dispatch, job: job_module.Job) -> None:
        digest = dispatch.digest
        assert digest not in self.declared_not_run, "ran after it was fenced"
        self.runs[digest] = self.runs.get(digest, 0) + 1
        assert self.runs[digest] == 1, "ran twice"
        self.running[digest] = job

    def _check_verdict(
        self,
        dispatch: work.Dispatch,
        verdict: executed_row.ExecutedRow | work.Dispatched,
    ) -> None:
        if isinstance(verdict, executed_row.ExecutedRow):
            assert self.runs.get(dispatch.digest, 0) == 1
            return
        if verdict.outcome is not Outcome.NOT_RUN:
            return
        assert dispatch.digest not in self.runs
        copies = [d for d in self.sent if d.digest == dispatch.digest]
        if copies[-1] is dispatch:
            # The home waits for the outcome of its newest dispatch, and now
            # reports to the caller that the request did not run.
            self.declared_not_run.add(dispatch.digest)


def make_model(uptime_offset_ms: int, max_rows: int) -> Model:
    """Returns a model with an empty table."""
    clock = Clock()
    table = executed_table.ExecutedTable(uptimes.Uptimes(clock), max_rows)
    return Model(table, clock, uptime_offset_ms)


_NUMBERS = strategies.integers(0, 3)
_STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("send"), _NUMBERS),
        strategies.tuples(strategies.just("run"), strategies.integers(0, 9)),
        strategies.tuples(strategies.just("refuse"), strategies.integers(0, 9)),
        strategies.tuples(strategies.just("answer"), _NUMBERS),
        strategies.tuples(strategies.just("lose"), _NUMBERS),
        strategies.tuples(strategies.just("recover"), _NUMBERS),
        strategies.tuples(
            strategies.just("wait"), strategies.sampled_from((1, 8, 15, 17))
        ),
    ),
    max_size=60,
)


def apply_step(model: Model, name: str, value: int) -> None:
    """Applies one step of a history to the model."""
    if name == "send":
        model.send(value)
    elif name == "run":
        model.read_dispatch(value, has_slot=True)
    elif name == "refuse":
        model.read_dispatch(value, has_slot=False)
    elif name == "answer":
        model.finish(value, Outcome.ANSWERED)
    elif name == "lose":
        model.finish(value, Outcome.UNKNOWN)
    elif name == "recover":
        model.recover(value)
    else:
        model.clock.now_s += value / 2
        model.table.remove_all_expired()


@hypothesis.settings(max_examples=1000)
@hypothesis.given(
    steps=_STEPS,
    uptime_offset_ms=strategies.integers(0, 10_000_000),
    max_rows=strategies.integers(1, 4),
)
def test_executed_no_history_runs_a_request_twice(
    steps: list[tuple[str, int]], uptime_offset_ms: int, max_rows: int
) -> None:
    """Guards against requests that run twice or are wrongly called not run.

    A buyer would be billed twice, or receive "not run" for a lot that is
    reserved. Dispatches are read late, in any order and more than once,
    answers are lost, other hosts send recovery queries, tickets expire, and
    the table is full.
    """
    model = make_model(uptime_offset_ms, max_rows)
    for name, value in steps:
        apply_step(model, name, value)
        assert len(model.table) <= max_rows


@hypothesis.given(
    delays_ms=strategies.lists(strategies.integers(0, 50_000), max_size=10),
    start_ms=strategies.integers(0, 10**9),
)
def test_executed_uptime_is_a_lower_bound_that_never_decreases(
    delays_ms: list[int], start_ms: int
) -> None:
    clock = Clock()
    bounds = uptimes.Uptimes(clock)
    previous_ms = -1
    for delay_ms in delays_ms:
        true_ms = start_ms + int(clock.now_s * 1000)
        bounds.record_uptime(_HOME, true_ms - delay_ms)
        clock.now_s += 0.7
        bound_ms = bounds.get_lower_bound_ms(_HOME)
        assert previous_ms <= bound_ms <= start_ms + clock.now_s * 1000
        previous_ms = bound_ms


def test_executed_full_table_accepts_and_evicts_nothing() -> None:
    model = make_model(0, max_rows=2)
    for number in range(3):
        model.send(number)
        model.read_dispatch(number, has_slot=True)
    assert set(model.runs) == {b"\x00", b"\x01"}
    model.finish(0, Outcome.ANSWERED)
    found = model.table.recover_request(
        make_recover(make_dispatch(0, 0, 8_000))
    )
    assert isinstance(found, executed_row.ExecutedRow)
    refused = model.table.recover_request(
        make_recover(make_dispatch(3, 0, 8_000))
    )
    assert isinstance(refused, work.Dispatched)
    assert refused.outcome is Outcome.UNKNOWN


def test_executed_expired_ticket_runs_nothing() -> None:
    """Guards against a second run when a copy arrives after ticket expiry.

    The row of the first run has been removed by then, so a missing row does
    not mean that the request may run.
    """
    model = make_model(0, max_rows=2)
    model.send(0)
    model.read_dispatch(0, has_slot=True)
    model.finish(0, Outcome.ANSWERED)
    model.clock.now_s = 7.9
    model.send(0)
    model.clock.now_s = 8.1
    verdict = model.table.check_dispatch(model.sent[1])
    assert isinstance(verdict, work.Dispatched)
    assert verdict.outcome is Outcome.UNKNOWN
