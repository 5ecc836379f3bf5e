"""A caller of the emulator: one request after the other."""

from __future__ import annotations

from collections.abc import Callable
import math
from typing import Protocol

from benchmarks import events
from benchmarks.ablation import outcome as outcomes
from benchmarks.ablation import scenario

# As the users' callers: copies after these times, seconds, and when an opening
# is given up.
_COPIES_S = (0.2, 0.6, 1.4)
_OPENING_LIMIT_S = 1.4
_RETRIES = 2


class Net(Protocol):
    """What a caller asks of the emulated network."""

    def send_opening(self, caller: Caller, copy: int) -> None:
        """Sends the opening packet of the caller's flow, or a copy."""

    def send_request(self, caller: Caller) -> None:
        """Sends the caller's request on its open flow."""

    def send_confirmation(self, caller: Caller) -> None:
        """Tells the upstream that its answer has come."""

    def take_port(self, caller: Caller) -> int:
        """Returns a port that no flow has had."""


class Caller:
    """Sends requests on a flow that it keeps for some of them.

    Attributes:
        kind: What it sends.
        address: Its address.
        port: Port of its flow; names the flow.
        token: Routing token of the open flow, 0 while it is not open.
        sequence: Number of the request on the flow.
    """

    def __init__(
        self,
        net: Net,
        queue: events.EventQueue,
        tally: outcomes.Tally,
        kind: scenario.Kind,
        address: int,
        pause: Callable[[], float],
        until_s: float = math.inf,
    ) -> None:
        """Makes a caller that has not begun.

        Args:
            net: The network.
            queue: The clock.
            tally: Where the outcomes of requests are counted.
            kind: What it sends.
            address: Its address.
            pause: Draws the time between two requests, seconds.
            until_s: Time from which it sends no new request, seconds.
        """
        self.kind = kind
        self.address = address
        self.port = 0
        self.token = 0
        self.sequence = 0
        self._net = net
        self._queue = queue
        self._tally = tally
        self._pause = pause
        self._until_s = until_s
        self._asked_at = 0.0
        self._tries = 0
        self._step = 0

    def ask(self) -> None:
        """Begins a request, unless its time has ended."""
        if self._queue.now >= self._until_s:
            return
        self._asked_at = self._queue.now
        self._tries = 0
        step = self._next_step()
        self._at(self.kind.limit_s, step, self._give_up)
        if self.token and self.sequence < self.kind.requests:
            self._send()
        else:
            self._open()

    def hear_opened(self, port: int, token: int) -> None:
        """An upstream has accepted the flow."""
        if port != self.port or self.token:
            return
        self.token = token
        self.sequence = 0
        self._send()

    def hear_answer(self, port: int, sequence: int) -> None:
        """The answer to a request has come."""
        if port != self.port or sequence != self.sequence:
            return
        self._net.send_confirmation(self)
        self._tally.record(self._asked_at, self._queue.now)
        self._end()

    def hear_refusal(self, port: int, sequence: int) -> None:
        """The upstream has refused a request, and has not run it."""
        if port != self.port or sequence != self.sequence:
            return
        self._net.send_confirmation(self)
        self.hear_reset(port)

    def hear_reset(self, port: int) -> None:
        """The flow was reset."""
        if port != self.port:
            return
        self.token = 0
        self._tries += 1
        if self._tries > _RETRIES:
            self._give_up()
        else:
            self._open()

    def _open(self) -> None:
        self.port = self._net.take_port(self)
        self.token = 0
        self._net.send_opening(self, 0)
        port = self.port
        for copy, after_s in enumerate(_COPIES_S[:-1], 1):
            self._queue.after(after_s, self._copy_opening(port, copy))
        self._queue.after(_OPENING_LIMIT_S, lambda: self._end_opening(port))

    def _copy_opening(self, port: int, copy: int) -> Callable[[], None]:
        def send() -> None:
            if port == self.port and not self.token:
                self._net.send_opening(self, copy)

        return send

    def _end_opening(self, port: int) -> None:
        if port == self.port and not self.token:
            self.hear_reset(port)

    def _send(self) -> None:
        self.sequence += 1
        self._net.send_request(self)
        port, sequence = self.port, self.sequence

        def send_again() -> None:
            if (port, sequence) == (self.port, self.sequence) and self.token:
                self._net.send_request(self)

        step = self._step
        for after_s in _COPIES_S:
            self._at(after_s, step, send_again)

    def _give_up(self) -> None:
        self._tally.record_failure(self._asked_at)
        self.port = 0
        self.token = 0
        self._end()

    def _end(self) -> None:
        self._next_step()
        self._queue.after(self._pause(), self.ask)

    def _next_step(self) -> int:
        self._step += 1
        return self._step

    def _at(self, after_s: float, step: int, work: Callable[[], None]) -> None:
        """Does work later if the request has not ended by then."""

        def do() -> None:
            if step == self._step:
                work()

        self._queue.after(after_s, do)
