"""A request at the keeper, from its arrival to its outcome."""

from __future__ import annotations

from collections.abc import Callable
import enum

import trio

from persimmonhinge import ids
from persimmonhinge.coap import codec
from persimmonhinge.contracts import contract
from persimmonhinge.peers.messages import work
from persimmonhinge.upstreams import transfer


class JobState(enum.Enum):
    """Progress of a job.

    WAITING: Queued; nothing of it has been sent to the upstream.
    RUNNING: Sent to the upstream; occupies one of its slots.
    DONE: The outcome is set.
    """

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class Job:
    """A request at the keeper and its outcome.

    Several calls may wait for one job: a home that lost its link sends the
    same request again.

    Attributes:
        dispatch: The message by which the home sent the request.
        request: The decoded request of the dispatch.
        call_class: Name of its call class in the newest contract.
        deadline: Time of the caller's deadline, on this host's clock.
        sequence: Number of the job in the order of arrival.
        cost_s: Estimated time that it will occupy a slot, seconds.
        state: Progress of the job.
        waiter_count: Number of calls that wait for the outcome.
        withdraw: Removes the job from the queue and finishes it as not run;
            returns False if the job is not queued any more.
        transfer: Sends the request to the upstream and receives its answer;
            None until the job runs.
        on_finish: Called with the outcome, before waiting calls resume.
    """

    def __init__(
        self,
        dispatch: work.Dispatch,
        request: codec.Message,
        call_class: contract.CallClass,
        deadline: float,
        sequence: int,
    ) -> None:
        self.dispatch = dispatch
        self.request = request
        self._call_class = call_class
        self.deadline = deadline
        self.sequence = sequence
        self.cost_s = 0.0
        self.state = JobState.WAITING
        self.waiter_count = 0
        self.withdraw: Callable[[], bool] | None = None
        self.transfer: transfer.Transfer | None = None
        self.on_finish: Callable[[work.Dispatched], None] | None = None
        self._finished = trio.Event()
        self._outcome: work.Dispatched | None = None

    @property
    def call_class(self) -> ids.CallClassName:
        """Name of the call class."""
        return ids.CallClassName(self._call_class.name)

    @property
    def priority(self) -> int:
        """Priority of the call class."""
        return self._call_class.priority

    @property
    def share(self) -> float:
        """Fraction of the slots that is reserved for the call class."""
        return self._call_class.share

    @property
    def outcome(self) -> work.Dispatched:
        """The outcome; available only in the state DONE."""
        assert self._outcome is not None
        return self._outcome

    def finish(self, outcome: work.Dispatched) -> None:
        """Sets the outcome and resumes all waiting calls.

        Only the first outcome is stored; later calls have no effect.
        """
        if self.state is JobState.DONE:
            return
        self.state = JobState.DONE
        self._outcome = outcome
        if self.on_finish is not None:
            self.on_finish(outcome)
        self._finished.set()

    async def wait(self) -> work.Dispatched:
        """Waits until the job is done and returns its outcome."""
        await self._finished.wait()
        return self.outcome
