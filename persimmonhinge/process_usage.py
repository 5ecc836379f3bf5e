"""What this process uses of memory and descriptors, by the kernel.

The functions return None for what the kernel does not tell, and never raise:
they are also called when memory or descriptors have run out.
"""

from __future__ import annotations

import os

_OCTETS_PER_KB = 1024
_STATISTICS = "/proc/self/statm"
_DESCRIPTORS = "/proc/self/fd"
_MAX_STATISTICS_OCTETS = 256
_RESIDENT_FIELD = 1


def read_resident_octets() -> int | None:
    """Returns the resident memory."""
    try:
        file = os.open(_STATISTICS, os.O_RDONLY | os.O_CLOEXEC)
        try:
            fields = os.read(file, _MAX_STATISTICS_OCTETS).split()
        finally:
            os.close(file)
        return int(fields[_RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError, MemoryError):
        return None


def read_peak_octets() -> int | None:
    """Returns the largest resident memory since the start."""
    try:
        import resource

        usage = resource.getrusage(resource.RUSAGE_SELF)
    # The import may be what a signal interrupted, or run finders of modules
    # that fail.
    except Exception:
        return None
    return usage.ru_maxrss * _OCTETS_PER_KB


def count_descriptors() -> int | None:
    """Returns the number of open descriptors."""
    try:
        # One is open for the list itself.
        return len(os.listdir(_DESCRIPTORS)) - 1
    except (OSError, MemoryError):
        return None


def read_descriptor_limit() -> int | None:
    """Returns how many descriptors may be open; None without a limit."""
    try:
        import resource

        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    except (ImportError, OSError, ValueError, MemoryError):
        return None
    return None if limit == resource.RLIM_INFINITY else limit
