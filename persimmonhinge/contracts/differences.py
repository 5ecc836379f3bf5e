"""Differences between two hosts that exchanges do not remove."""

from __future__ import annotations

import dataclasses

import trio

from persimmonhinge import ids

# So often the same difference to a host is looked into at once, and then
# again after this time.
_MOST_TRIES = 3
_PAUSE_S = 30.0


@dataclasses.dataclass(slots=True)
class _Difference:
    mine: bytes
    theirs: bytes
    tries: int = 0
    last_s: float = 0.0


class Differences:
    """Remembers for each host the digests that differed last.

    Guards against a steady load: a record that one host can read and another
    can't, as in the middle of an upgrade, leaves their digests different for
    good, and each second would cost a list of revisions and the record.
    """

    def __init__(self) -> None:
        self._by_host: dict[ids.HostId, _Difference] = {}

    def begin(self, host: ids.HostId, mine: bytes, theirs: bytes) -> bool:
        """Notes a difference; tells whether to look into it now."""
        now = trio.current_time()
        found = self._by_host.get(host)
        if found is None or (found.mine, found.theirs) != (mine, theirs):
            found = _Difference(mine, theirs)
            self._by_host[host] = found
        if found.tries >= _MOST_TRIES and now < found.last_s + _PAUSE_S:
            return False
        found.tries += 1
        found.last_s = now
        return True

    def clear(self, host: ids.HostId) -> None:
        """Forgets a host, as it knows the same."""
        self._by_host.pop(host, None)
