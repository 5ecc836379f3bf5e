"""Which requests a keeper refuses at once."""

from __future__ import annotations

import dataclasses
import logging
import math
import random
from typing import Protocol

from persimmonhinge import registry

logger = logging.getLogger(__name__)

_DEFAULT_POLICY = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Pressure:
    """What a new request finds at its upstream.

    Attributes:
        slots: Slots that may be used now; at least 1.
        free_slots: Those that hold nothing.
        left_s: Time until the deadline of the request, seconds.
        cost_s: How long the request will hold a slot, seconds.
        running_s: Slot time that the running requests still need, seconds.
        ahead_s: Slot time that the waiting requests need which go before
            this one, seconds.
        queued_s: Slot time that all waiting requests need, seconds.
    """

    slots: int
    free_slots: int
    time_left_s: float
    cost_s: float
    running_s: float
    ahead_s: float
    queued_s: float

    @property
    def expected_finish_s(self) -> float:
        """Time until the answer, if nothing more urgent comes, seconds."""
        wait_s = (self.running_s + self.ahead_s) / self.slots
        return wait_s + self.cost_s

    @property
    def queue_drain_s(self) -> float:
        """Time until all that waits now has been served, seconds."""
        return (self.running_s + self.queued_s) / self.slots


class AdmissionPolicy(Protocol):
    """Decides whether a request may wait."""

    def admits(self, pressure: Pressure) -> bool:
        """Tells whether a request may wait for a slot."""


admission_policies: registry.Registry[type[AdmissionPolicy]] = (
    registry.Registry("admission policy")
)


@admission_policies.register("open")
class OpenAdmission:
    """Lets all requests wait; only the limit of the queue refuses."""

    def admits(self, pressure: Pressure) -> bool:
        """Returns True."""
        return True


@admission_policies.register("deadline")
class DeadlineAdmission:
    """Lets a request wait only if its deadline can be met.

    A caller that is refused at once can go elsewhere; one that is let in
    and dropped at its deadline has waited for nothing, and its place in the
    queue was lost to others.
    """

    def admits(self, pressure: Pressure) -> bool:
        """Tells whether the request ends before its deadline."""
        if pressure.free_slots > 0 and pressure.ahead_s <= 0:
            # With a slot at hand, trying costs nobody else anything.
            return True
        return pressure.expected_finish_s <= pressure.time_left_s


def make_admission_policy(name: str) -> AdmissionPolicy:
    """Returns a policy; the default one if there is none of the name."""
    if name not in admission_policies.names():
        logger.warning(
            "No admission policy %r; %s is used.", name, _DEFAULT_POLICY
        )
        name = _DEFAULT_POLICY
    return admission_policies.get(name)()


def choose_retry_delay_s(pressure: Pressure, randomness: random.Random) -> int:
    """Returns when a refused caller may come back, seconds, at least 1.

    Guards against a wave of returns: callers that are refused together and
    told the same time would come back together and be refused again. The
    times are spread over as long as the queue takes to drain.
    """
    return add_jitter_s(math.ceil(pressure.queue_drain_s), randomness)


def add_jitter_s(base_s: int, randomness: random.Random) -> int:
    """Returns a time from a base to its double, seconds, at least 1."""
    base_s = max(1, base_s)
    return base_s + randomness.randint(0, base_s)
