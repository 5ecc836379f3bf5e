"""Which faults come when: the same for the same seed."""

from __future__ import annotations

import dataclasses
import enum
import random

# Time before the first fault: all is started and warm, seconds.
_CALM_START_S = 2.0
# Time after the last fault in which everything must be served, seconds.
CALM_END_S = 12.0
# Waits between the beginnings of two faults, seconds: some at once, some in a
# row, some after a calm time in which the checks of time limits apply.
_WAITS_S = (0.0, 0.3, 1.0, 2.0, 4.0, 7.0)
_SHORTEST_S = 0.3
_LONGEST_S = 4.0


class FaultKind(enum.Enum):
    """What goes wrong.

    KILL_HOST: A host is killed, and started again.
    KILL_ALL: All hosts are killed at once, and started again.
    PAUSE_HOST: A host stands still.
    ROLL_HOST: A host is stopped as planned, and started again.
    ROLL_ALL: All hosts are, one after the other.
    RELOAD_HOST: The settings of a host change, with or without a signal.
    STEP_CLOCK: The time of day of a host jumps.
    LOSE_PACKETS: Packets to a host are lost, doubled and out of order.
    CUT_PACKETS: No packet reaches a host.
    DELAY_PACKETS: Packets to a host come late.
    STORE_DOWN: The store is down.
    STORE_SLOW: The store answers late.
    STORE_REFUSES: The store refuses all calls.
    STORE_LAPSES: The store is down, and entries of upstreams end meanwhile.
    STORE_FORGETS: The store drops its history.
    CUT_STORE: A host can't reach the store, or gets no answer from it.
    RESET_STORE: Connections of a host to the store are reset.
    SILENCE_STORE: Connections of a host to the store are lost silently.
    CRASH_UPSTREAM: An upstream dies; its entry ends some time later.
    REPLACE_UPSTREAM: An upstream leaves; its address goes to another service.
    CUT_UPSTREAM: No packet reaches an upstream.
    DELAY_UPSTREAM: Packets to an upstream come late.
    CUT_PEERS: A host hears no other one, is heard by none, or both.
    CUT_DOMAIN: The hosts of a failure domain and those of others hear nothing
        of each other.
    LOSE_REPORTS: What others tell a host is lost, doubled and out of order.
    FOREIGN_ENTRIES: Another writer writes entries that can't be read, some of
        them at the keys of upstreams.
    HOSTILE_DATAGRAMS: A host gets datagrams that are no packets and no reports.
    HOSTILE_REQUESTS: A host gets connections that ask for nothing it has.
    HOSTILE_ANSWERS: The store's answers can't be read.
    GROW_STATE: The desired state has a thousand routes more.
    RESTART_UPSTREAM: An upstream dies and starts again under its name; its
        entry follows some time later, at times after the former one ended.
    """

    KILL_HOST = "kill-host"
    KILL_ALL = "kill-all"
    PAUSE_HOST = "pause-host"
    ROLL_HOST = "roll-host"
    ROLL_ALL = "roll-all"
    RELOAD_HOST = "reload-host"
    STEP_CLOCK = "step-clock"
    LOSE_PACKETS = "lose-packets"
    CUT_PACKETS = "cut-packets"
    DELAY_PACKETS = "delay-packets"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_REFUSES = "store-refuses"
    STORE_LAPSES = "store-lapses"
    STORE_FORGETS = "store-forgets"
    CUT_STORE = "cut-store"
    RESET_STORE = "reset-store"
    SILENCE_STORE = "silence-store"
    CRASH_UPSTREAM = "crash-upstream"
    REPLACE_UPSTREAM = "replace-upstream"
    CUT_UPSTREAM = "cut-upstream"
    DELAY_UPSTREAM = "delay-upstream"
    CUT_PEERS = "cut-peers"
    CUT_DOMAIN = "cut-domain"
    LOSE_REPORTS = "lose-reports"
    FOREIGN_ENTRIES = "foreign-entries"
    HOSTILE_DATAGRAMS = "hostile-datagrams"
    HOSTILE_REQUESTS = "hostile-requests"
    HOSTILE_ANSWERS = "hostile-answers"
    GROW_STATE = "grow-state"
    RESTART_UPSTREAM = "restart-upstream"


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault of a plan.

    Attributes:
        at_s: When it begins, seconds from the beginning of the run.
        kind: What it is.
        place: Number that chooses a host or an upstream.
        for_s: How long it lasts, seconds.
        strength: A number from 0 to 1; what it does depends on the kind.
    """

    at_s: float
    kind: FaultKind
    place: int
    for_s: float
    strength: float


# How many times longer than others some kinds last: a host that hears no other
# one has time to find it, and then the limit of a change is still to pass.
_STRETCHES = {FaultKind.CUT_PEERS: 2.5, FaultKind.CUT_DOMAIN: 2.5}

# Inputs that no sane sender sends.
HOSTILE_KINDS = (
    FaultKind.FOREIGN_ENTRIES,
    FaultKind.HOSTILE_DATAGRAMS,
    FaultKind.HOSTILE_REQUESTS,
    FaultKind.HOSTILE_ANSWERS,
    FaultKind.GROW_STATE,
)

# New kinds are added at the end: plans of seeds that failed before there were
# so many draw from the first ones alone, and stay what they were.
ALL_KINDS = len(FaultKind)


def make_plan(
    seed: int,
    length_s: float,
    kinds: int = ALL_KINDS,
    only: tuple[FaultKind, ...] = (),
) -> list[Fault]:
    """Returns the faults of a run, in the order of their beginnings.

    Args:
        seed: Seed of the plan.
        length_s: Length of the run with its calm end, seconds.
        kinds: How many kinds it draws from, the first ones.
        only: The kinds that it draws from instead; empty for those.
    """
    source = random.Random(f"soak/{seed}")
    drawn = list(only) or list(FaultKind)[:kinds]
    faults: list[Fault] = []
    at_s = _CALM_START_S
    while True:
        kind = source.choice(drawn)
        place = source.randrange(1000)
        for_s = source.uniform(_SHORTEST_S, _LONGEST_S)
        fault = Fault(
            at_s=round(at_s, 3),
            kind=kind,
            place=place,
            for_s=round(for_s * _STRETCHES.get(kind, 1.0), 3),
            strength=round(source.random(), 3),
        )
        if fault.at_s + fault.for_s > length_s - CALM_END_S:
            return faults
        faults.append(fault)
        at_s += source.choice(_WAITS_S)
