"""One request at the keeper, from its arrival to its outcome."""

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
    """Where a job stands.

    WAITING: In the queue; it has not left for the upstream.
    RUNNING: At the upstream, and counted against its slots.
    DONE: It has its outcome.
    """

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"


class Job:
    """A request and what became of it.

    Several calls may wait for one job: a home that lost its link asks for
    the same request again.

    Attributes:
        dispatch: What the home sent.
        request: The request in it, read.
        call_class: Its call class in the newest contract.
        deadline: Time of the caller's deadline.
        sequence: Number of its arrival.
        cost_s: How long it will hold a slot, as far as is known, seconds.
        state: Where it stands.
        listeners: Calls that wait for its outcome.
        withdraw: Takes it out of the queue and finishes it as not run;
            returns False if it does not wait any more.
        transfer: Its run at the upstream; set while it runs.
        on_finish: Is told the outcome before all that wait.
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
        """Name of its call class."""
        return ids.CallClassName(self._call_class.name)

    @property
    def priority(self) -> int:
        """Priority of its call class."""
        return self._call_class.priority

    @property
    def share(self) -> float:
        """Part of the slots that is kept for its call class."""
        return self._call_class.share

    @property
    def outcome(self) -> work.Dispatched:
        """The outcome; only once the state is DONE."""
        assert self._outcome is not None
        return self._outcome

    def finish(self, outcome: work.Dispatched) -> None:
        """Sets the outcome and wakes all that wait; the first one counts."""
        if self.state is JobState.DONE:
            return
        self.state = JobState.DONE
        self._outcome = outcome
        if self.on_finish is not None:
            self.on_finish(outcome)
        self._finished.set()

    async def wait(self) -> work.Dispatched:
        """Returns the outcome once it is there."""
        await self._finished.wait()
        return self.outcome
