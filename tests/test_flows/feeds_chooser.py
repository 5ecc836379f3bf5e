"""A fake chooser that chooses upstreams at random."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from persimmonhinge import ids
from persimmonhinge.contracts import contract
from persimmonhinge.contracts import store
from persimmonhinge.flows import port
from persimmonhinge.membership import member

if TYPE_CHECKING:
    from tests.test_flows import feeds_world


class FakeChooser:
    """Chooses upstreams at random and counts the open streams."""

    def __init__(self, world: feeds_world.World) -> None:
        self._world = world
        self.open_count = 0

    def choose(
        self,
        entry: store.ContractEntry,
        kind: contract.CallKind,
        *,
        exclude: frozenset[ids.UpstreamId] = frozenset(),
        keeper_refs: frozenset[ids.HostRef] | None = None,
    ) -> port.Choice | None:
        """Chooses one of the active upstreams that are not excluded."""
        candidates = [
            u
            for u in entry.contract.upstreams
            if u.id not in exclude and u.state is contract.UpstreamState.ACTIVE
        ]
        if not candidates:
            return None
        upstream = self._world.random.choice(candidates)
        keeper = ids.HostId(self._world.upstreams[upstream.id].keeper)
        ref = member.compute_ref(keeper, ids.Incarnation(1))
        return port.Choice(upstream, keeper, ref)

    def pick_keepers(
        self, entry: store.ContractEntry, count: int
    ) -> tuple[ids.HostRef, ...]:
        """Is not used by feeds."""
        return ()

    def record_load(self, *args: Any) -> None:
        """Is not used by feeds."""

    def record_start(self, *args: Any) -> None:
        """Counts a stream that opens."""
        self.open_count += 1

    def record_end(self, *args: Any) -> None:
        """Counts a stream that ends."""
        self.open_count -= 1
