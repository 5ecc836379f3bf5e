"""Settings of a run of the soak."""

from __future__ import annotations

import dataclasses
import pathlib

from tests.soak import plan as plans


@dataclasses.dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a run.

    Attributes:
        seed: Seed of the faults, the load and the changes.
        length_s: Length, seconds.
        folder: Where settings and logs of the processes go.
        hosts: Number of hosts.
        upstreams: Number of places where upstreams run.
        load: Part of the usual load, for machines that do other work.
        faults: Faults to make; None for those of the seed.
        kinds: How many kinds of faults the seed draws from, the first ones.
        only: Kinds of faults that the seed draws from instead; empty for those.
        domains: Number of failure domains.
        deployment: Hosts by failure domain, started as the deploy file says;
            empty for hosts with the settings of the soak.
    """

    seed: int
    length_s: float
    folder: pathlib.Path
    hosts: int = 6
    upstreams: int = 9
    load: float = 1.0
    faults: tuple[plans.Fault, ...] | None = None
    kinds: int = plans.ALL_KINDS
    only: tuple[plans.FaultKind, ...] = ()
    domains: int = 3
    deployment: tuple[int, ...] = ()
