"""How late the soak's own process is."""

from __future__ import annotations

import trio

_CHECK_S = 0.05


class Lateness:
    """Measures how much later than asked a task of the soak goes on.

    Upstreams and callers run in the soak's process, and times of packets are
    those at which it reads them. Where the machine has too little processor
    time, what it saw proves nothing about the hosts.

    Attributes:
        most_s: The longest, seconds.
    """

    def __init__(self) -> None:
        self.most_s = 0.0

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_at = trio.current_time() + _CHECK_S
            await trio.sleep_until(due_at)
            self.most_s = max(self.most_s, trio.current_time() - due_at)
