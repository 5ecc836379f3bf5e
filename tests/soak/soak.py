"""One run of the soak, from its start to its verdict."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge.load.flows import records
from tests.soak import checks
from tests.soak import plan as plans
from tests.soak import scene as scenes
from tests.soak import settings as soak_settings
from tests.soak.injectors import base
from tests.soak.injectors import builtin  # noqa: F401

# The room that the checks leave for a busy machine, seconds: a soak that was
# later itself can't judge.
_MOST_LATE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run showed.

    Attributes:
        faults: Faults that were made.
        requests: Requests of callers.
        answered: Those that were answered.
        flows: Flows that opened.
        versions: Versions of the desired state.
        late: Upstreams that are not judged, as their entries came back too
            late after an outage.
        behind_s: How late the soak's own process was at the most, seconds.
        found: What each check found.
    """

    faults: int
    requests: int
    answered: int
    flows: int
    versions: int
    late: int
    behind_s: float
    found: dict[str, list[str]]

    @property
    def valid(self) -> bool:
        """True if the soak itself was in time, so that its checks hold."""
        return self.behind_s <= _MOST_LATE_S

    @property
    def clean(self) -> bool:
        """True if no check found anything."""
        return not any(self.found.values())


async def run_soak(settings: soak_settings.SoakSettings) -> SoakResult:
    """Runs the programs under the faults of a seed, and judges."""
    faults = settings.faults
    if faults is None:
        faults = tuple(
            plans.make_plan(
                settings.seed, settings.length_s, settings.kinds, settings.only
            )
        )
    async with scenes.run_scene(settings) as scene:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(scene.load.run)
            begun_at = trio.current_time()
            for fault in faults:
                await trio.sleep_until(begun_at + fault.at_s)
                nursery.start_soon(base.inject, scene, fault)
        return _make_result(scene, len(faults))


def _make_result(scene: scenes.SoakScene, faults: int) -> SoakResult:
    book = scene.load.book
    answered = sum(
        1
        for request in book.requests
        if request.outcome is records.Outcome.ANSWERED
    )
    return SoakResult(
        faults=faults,
        requests=len(book.requests),
        answered=answered,
        flows=len(book.opened),
        versions=len(scene.operator.applied_at),
        late=len(scene.board.late_ids),
        behind_s=scene.lateness.most_s,
        found=checks.judge(scene),
    )
