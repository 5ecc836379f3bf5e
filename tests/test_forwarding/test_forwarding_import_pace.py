"""Tests of how a host divides its time while it starts."""

from __future__ import annotations

from persimmonhinge.forwarding.decisions import import_pace
from tests.test_forwarding import scene as scenes

# Imports of a host of a quarter of a core, seconds.
_IMPORT_S = 0.02
_IMPORTS = 100


def simulate_start(
    packets: int, imports: int = _IMPORTS
) -> tuple[float, float]:
    """Plays a start with so many packets during each import.

    Returns:
        Time for imports and time for packets, seconds.
    """
    clock = scenes.Clock()
    pace = import_pace.ImportPace(clock)
    served_s = 0.0
    for _ in range(imports):
        clock.sleep(_IMPORT_S)
        time_s = pace.record_import_end(packets)
        clock.sleep(time_s)
        served_s += time_s
        pace.record_import_start()
    return imports * _IMPORT_S, served_s


def test_burst_after_a_restart_gets_half_of_the_time() -> None:
    """Callers wait though their packets have come and upstreams are idle.

    All hosts lose power; all that was asked meanwhile is sent again as soon
    as they forward, while they still import most of their modules. Cause:
    packets get a turn only between one import and the next.
    """
    imported_s, served_s = simulate_start(packets=5, imports=20)
    assert abs(served_s - imported_s) < 1e-9


def test_start_without_packets_waits_for_nothing() -> None:
    assert simulate_start(packets=0)[1] == 0.0


def test_long_burst_does_not_delay_the_start() -> None:
    """A host hears of no change while packets keep coming.

    Cause: its start waits until the rush is over.
    """
    assert simulate_start(packets=5)[1] <= 1.0


def test_long_import_does_not_end_the_imports() -> None:
    clock = scenes.Clock()
    pace = import_pace.ImportPace(clock)
    clock.sleep(3.0)
    assert pace.record_import_end(1) == 0.05


def test_burst_ends_some_time_after_its_last_packet() -> None:
    clock = scenes.Clock()
    pace = import_pace.ImportPace(clock)
    clock.sleep(_IMPORT_S)
    assert pace.record_import_end(1) > 0
    pace.record_import_start()
    clock.sleep(0.1)
    assert pace.record_import_end(0) > 0
    pace.record_import_start()
    clock.sleep(0.2)
    assert pace.record_import_end(0) == 0.0
