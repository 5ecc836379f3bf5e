"""Tests of the spread of contracts over simulated hosts."""

from __future__ import annotations

import trio

from tests.support import trios
from tests.test_contracts import fleet as fleets

_LIMIT_S = 3.0


@trios.clock_test
async def test_contract_is_in_force_everywhere_within_the_limit() -> None:
    async with trio.open_nursery() as nursery:
        fleet = fleets.Fleet(nursery, 24)
        fleet.start()
        await trio.sleep(5)
        revision = fleet.apply("floor")
        await trio.sleep(_LIMIT_S)
        assert fleet.knows("floor", revision), fleet.revisions("floor")
        rings = {h.keys.record.revision for h in fleet.hosts.values()}
        assert len(rings) == 1 and 0 not in rings
        assert all(h.control.ready() for h in fleet.hosts.values())
        nursery.cancel_scope.cancel()
