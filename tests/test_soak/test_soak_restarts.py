"""A short run of the soak with upstreams that start again under their name."""

from __future__ import annotations

import pathlib
import tempfile

from tests.soak import plan as plans
from tests.soak import settings as soak_settings
from tests.soak import soak
from tests.support import trios

_SEED = 5
_LENGTH_S = 40.0
_FIRST_AT_S = 2.0
_LAST_AT_S = _LENGTH_S - plans.CALM_END_S - 6.0
# Each place is free again before the next fault for it comes.
_INTERVAL_S = 2.0
_RESTART_S = 4.0
_OTHER_S = 1.5
_OTHERS = (
    plans.FaultKind.CUT_STORE,
    plans.FaultKind.KILL_HOST,
    plans.FaultKind.STORE_DOWN,
)


def make_faults() -> tuple[plans.Fault, ...]:
    """Returns restarts of upstreams in turn, each beside another fault."""
    faults: list[plans.Fault] = []
    at_s = _FIRST_AT_S
    while at_s < _LAST_AT_S:
        number = len(faults) // 2
        restart = plans.FaultKind.RESTART_UPSTREAM
        other = _OTHERS[number % len(_OTHERS)]
        lapses = float(number % 2)
        faults.append(plans.Fault(at_s, restart, number, _RESTART_S, lapses))
        faults.append(plans.Fault(at_s + 0.5, other, number, _OTHER_S, 0.0))
        at_s += _INTERVAL_S
    return tuple(faults)


@trios.trio_test
async def test_flows_of_upstreams_that_start_again_stay_open() -> None:
    """Guards against hosts that take a restart for the end of newer flows."""
    faults = make_faults()
    with tempfile.TemporaryDirectory() as folder:
        result = await soak.run_soak(
            soak_settings.SoakSettings(
                _SEED,
                _LENGTH_S,
                pathlib.Path(folder),
                hosts=3,
                upstreams=9,
                faults=faults,
            )
        )
    assert result.clean, (result.found, result.behind_s)
    assert result.faults == len(faults)
