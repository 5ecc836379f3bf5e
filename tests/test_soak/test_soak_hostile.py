"""A short run of the soak with inputs that no sane sender sends."""

from __future__ import annotations

import pathlib
import tempfile

from tests.soak import plan as plans
from tests.soak import settings as soak_settings
from tests.soak import soak
from tests.support import trios

_SEED = 3
_LENGTH_S = 40.0
_LOAD = 0.4


@trios.trio_test
async def test_no_input_from_outside_ends_a_host() -> None:
    """Guards against one bad entry, datagram or request that ends hosts."""
    with tempfile.TemporaryDirectory() as folder:
        result = await soak.run_soak(
            soak_settings.SoakSettings(
                _SEED,
                _LENGTH_S,
                pathlib.Path(folder),
                hosts=3,
                upstreams=7,
                load=_LOAD,
                only=plans.HOSTILE_KINDS,
                deployment=(2, 1),
            )
        )
    assert result.clean, (result.found, result.behind_s)
    assert result.faults >= len(plans.HOSTILE_KINDS)
