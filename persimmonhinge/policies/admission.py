"""Admission policies: which requests a host refuses on arrival."""

from __future__ import annotations

import math

from persimmonhinge import early_logs
from persimmonhinge import records
from persimmonhinge import registry
from persimmonhinge.light_typing import Protocol
from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

logger = early_logs.get_logger(__name__)

_DEFAULT_POLICY = "deadline"


class Pressure(records.Record, frozen=True):
    """Load of an upstream and its queue, and needs of a new request.

    Attributes:
        slots: Number of slots that may be used now, more than 0. It is whole
            at a keeper; the part of a service's slots that one forwarding host
            may use need not be.
        free_slots: Number of these slots that are free.
        time_left_s: Time until the deadline of the new request, seconds.
        cost_s: Time for which the new request will hold a slot, seconds.
        running_s: Slot time that the running requests still need, seconds.
        ahead_s: Slot time that the queued requests ahead of the new one
            need, seconds.
        queued_s: Slot time that all queued requests need, seconds.
    """

    slots: float
    free_slots: int
    time_left_s: float
    cost_s: float
    running_s: float
    ahead_s: float
    queued_s: float

    @property
    def expected_finish_s(self) -> float:
        """Time until the answer, seconds.

        A more urgent request that arrives later may delay the answer.
        """
        wait_s = (self.running_s + self.ahead_s) / self.slots
        return wait_s + self.cost_s

    @property
    def queue_drain_s(self) -> float:
        """Time until all requests now in the queue are served, seconds."""
        return (self.running_s + self.queued_s) / self.slots


class AdmissionPolicy(Protocol):
    """Decides whether a new request may enter the queue."""

    def admits(self, pressure: Pressure) -> bool:
        """Returns whether a request may wait for a slot."""


admission_policies: registry.Registry[type[AdmissionPolicy]] = (
    registry.Registry("admission policy")
)


@admission_policies.register("open")
class OpenAdmission:
    """Admits all requests, up to the limit of the queue."""

    def admits(self, pressure: Pressure) -> bool:
        """Returns True."""
        return True


@admission_policies.register("deadline")
class DeadlineAdmission:
    """Admits a request only if it can be answered before its deadline.

    A caller that is refused on arrival can send its request elsewhere. A
    request that is admitted and then dropped at its deadline wastes its
    caller's time and takes a place in the queue from other requests.
    """

    def admits(self, pressure: Pressure) -> bool:
        """Returns whether the request can end before its deadline."""
        if pressure.free_slots > 0 and pressure.ahead_s <= 0:
            # No earlier request needs the slot, so an attempt costs the other
            # requests nothing even if it misses its deadline.
            return True
        return pressure.expected_finish_s <= pressure.time_left_s


def make_admission_policy(name: str) -> AdmissionPolicy:
    """Returns the named policy, or the default one if the name is unknown."""
    if name not in admission_policies.names():
        logger.warning(
            "Unknown admission policy %r; using %s.", name, _DEFAULT_POLICY
        )
        name = _DEFAULT_POLICY
    return admission_policies.get(name)()


def choose_retry_delay_s(pressure: Pressure, randomness: random.Random) -> int:
    """Returns a retry delay for a refused caller, seconds, at least 1.

    Callers that are refused together and receive the same delay would retry
    together and be refused again. The delays are spread over the time that
    the queue takes to drain.
    """
    return add_jitter_s(math.ceil(pressure.queue_drain_s), randomness)


def add_jitter_s(base_s: int, randomness: random.Random) -> int:
    """Returns a random time between a base and twice the base, seconds.

    A base below 1 counts as 1.
    """
    base_s = max(1, base_s)
    return base_s + randomness.randint(0, base_s)
