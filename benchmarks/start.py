"""What the start of a host that forwards packets costs.

    python -m benchmarks.start [--runs N]

Starts the real program against the store's stand-in and reads, once the host
is ready, the processor time and the memory of its process. The bare
interpreter that has imported trio is measured in the same run, so that the
ratio can be compared between machines.

Then what a host needs until it could forward: the program until its settings
are read, in turn with the bare interpreter. The least of the runs count: 6.4
times the interpreter when it imported its libraries first, 3.0 to 3.5 now.
Prints one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import resource
import statistics
import subprocess
import sys
import tempfile
from typing import NamedTuple

import trio

from tests.standins import forwarding_deployment as deployments
from tests.standins import packet_upstream

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_OCTETS = os.sysconf("SC_PAGE_SIZE")
# Places in the text of /proc/PID/stat after the name in brackets.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_RESIDENT_PAGES = 21
# As the platform starts the program.
_BARE = ("-S", "-OO")
_PROGRAM = pathlib.Path(__file__).parents[1] / "deploy" / "forward.py"
# Enough that the least of each is not one beside other work.
_FIRST_PACKET_RUNS = 20
_SETTINGS = json.dumps(
    {
        "host": "h-1",
        "domain": "north",
        "packets": "127.0.0.1:8172",
        "pages": "127.0.0.1:8167",
        "peer_ports": [7720, 7735],
        "store": {"address": "127.0.0.1:8169"},
    }
)


class Cost(NamedTuple):
    """What a process has taken.

    Attributes:
        cpu_s: Processor time, seconds.
        memory_mb: Resident memory, MB.
    """

    cpu_s: float
    memory_mb: float


def read_cost(pid: int) -> Cost:
    """Reads what a process has taken until now."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    memory = int(fields[_RESIDENT_PAGES]) * _PAGE_OCTETS
    return Cost(ticks / _TICKS_PER_S, memory / 1e6)


def measure_bare() -> float:
    """Returns the processor time of an interpreter that imports trio."""
    return measure_program("-c", "import trio")


def measure_program(*words: str) -> float:
    """Returns the processor time of a program of the interpreter, seconds."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    # Compiled modules are there on the platform.
    environment.pop("PYTHONDONTWRITEBYTECODE", None)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(
        [sys.executable, *words],
        check=True,
        stdout=subprocess.DEVNULL,
        env=environment,
    )
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime


def measure_first_packet(runs: int) -> tuple[float, float]:
    """Returns the least times of the bare interpreter and of a host.

    Args:
        runs: Runs of each, in turn; the first writes compiled modules.
    """
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(_SETTINGS)
        file.flush()
        host = (*_BARE, str(_PROGRAM), "--check", file.name)
        pairs = [
            (measure_program(*_BARE, "-c", "pass"), measure_program(*host))
            for _ in range(runs + 1)
        ]
    return min(bare for bare, _ in pairs), min(host for _, host in pairs)


async def measure_host() -> Cost:
    """Returns what a host has taken when it is ready."""
    async with deployments.run_deployment(1) as deployment:
        async with packet_upstream.run_upstreams(2) as upstreams:
            await deployment.put_state(1)
            for upstream in upstreams:
                await deployment.put_upstream(upstream)
            host = deployment.hosts[0]
            await host.start()
            await deployment.wait_ready(host)
            assert host.process is not None
            return read_cost(host.process.pid)


def main() -> None:
    """Reads the command line, measures and prints."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    arguments = parser.parse_args()
    runs = range(arguments.runs)
    bare_s = statistics.median(measure_bare() for _ in runs)
    costs = [trio.run(measure_host) for _ in runs]
    cpu_s = statistics.median(cost.cpu_s for cost in costs)
    interpreter_s, first_s = measure_first_packet(_FIRST_PACKET_RUNS)
    result = {
        "runs": arguments.runs,
        "interpreter_ms": round(interpreter_s * 1000, 1),
        "until_settings_ms": round(first_s * 1000, 1),
        "first_ratio": round(first_s / interpreter_s, 2),
        "cpu_s": round(cpu_s, 3),
        "interpreter_with_trio_s": round(bare_s, 3),
        "ratio": round(cpu_s / bare_s, 2),
        "memory_mb": round(max(cost.memory_mb for cost in costs), 1),
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
