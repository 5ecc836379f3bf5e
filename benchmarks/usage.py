"""Processor time and memory of a process, from /proc."""

from __future__ import annotations

import dataclasses
import os
import pathlib

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_KIB = 1024
# Fields of /proc/<pid>/stat behind the name: user and system time.
_USER_TICKS = 11
_SYSTEM_TICKS = 12


@dataclasses.dataclass(frozen=True)
class Memory:
    """Memory of a process.

    Attributes:
        rss: Resident octets.
        pss: Resident octets, shared pages by their part.
    """

    rss: int
    pss: int


def read_processor_s(pid: int) -> float:
    """Returns the processor time that a process has used, seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_S


def read_memory(pid: int) -> Memory:
    """Returns the memory that a process holds."""
    path = pathlib.Path(f"/proc/{pid}/smaps_rollup")
    found: dict[str, int] = {}
    for line in path.read_text(encoding="ascii").splitlines():
        name, _, rest = line.partition(":")
        if name in ("Rss", "Pss"):
            found[name] = int(rest.split()[0]) * _KIB
    return Memory(found["Rss"], found["Pss"])


def describe_load() -> str:
    """Returns the machine's load, for the head of a measurement."""
    one, five, _ = os.getloadavg()
    return f"load average {one:.1f} {five:.1f} on {os.cpu_count()} cores"
