"""Where the time of a profiled host goes."""

from __future__ import annotations

import collections
import pathlib
import pstats
from typing import Any

_TOP = 30
_PACKAGES = ("aiocoap", "trio", "msgspec", "outcome", "asyncio")
# Waiting for datagrams is no work.
_IDLE = ("poll", "epoll")


def print_profile(path: pathlib.Path, requests: int) -> None:
    """Prints own time by part and by function, in microseconds a request.

    Time of a built-in function counts to the part that calls it.

    Args:
        path: What cProfile wrote.
        requests: Requests that the host answered meanwhile.
    """
    # typeshed leaves out `stats`, the table that pstats itself prints.
    stats: Any = pstats.Stats(str(path))
    parts: collections.Counter[str] = collections.Counter()
    functions: collections.Counter[str] = collections.Counter()
    for (file, line, name), entry in stats.stats.items():
        _, calls, own_s, _, callers = entry
        if any(word in name for word in _IDLE):
            continue
        label = f"{_shorten(file)}:{line} {name} x{calls / requests:.1f}"
        functions[label] += own_s
        if file != "~":
            parts[_find_part(file)] += own_s
            continue
        for (caller, _, _), spent in callers.items():
            parts[_find_part(caller)] += spent[2]
    _print_top("part", parts, requests, len(parts))
    _print_top("function", functions, requests, _TOP)


def _print_top(
    title: str, times: collections.Counter[str], requests: int, most: int
) -> None:
    whole = sum(times.values())
    print(f"own time by {title}, us a request under the profiler:")
    for label, spent_s in times.most_common(most):
        share = spent_s / whole
        print(f"  {spent_s / requests * 1e6:7.1f}  {share:5.1%}  {label}")


def _find_part(file: str) -> str:
    folders = pathlib.Path(file).parts
    if "persimmonhinge" in folders:
        inside = folders[folders.index("persimmonhinge") + 1 :]
        return f"persimmonhinge/{'/'.join(inside[:2])}"
    for package in _PACKAGES:
        if package in folders:
            return package
    return "library" if file != "~" else "built-in"


def _shorten(file: str) -> str:
    return "/".join(pathlib.Path(file).parts[-3:])
