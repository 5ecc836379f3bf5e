"""The program `persimmonhinge-forward`: one host that forwards packets."""

from __future__ import annotations

import os
import signal
import socket
import sys

from persimmonhinge import collector
from persimmonhinge.forwarding import binding

# The address of packets may stand in a variable, too: it is in the settings,
# but to read those takes modules whose import is most of the start.
PACKETS_VARIABLE = "PERSIMMONHINGE_PACKETS"


def main() -> None:
    """Runs a host until SIGTERM; see `forward_host.run`."""
    # The default action would end a host that is told of new settings before
    # it follows signals.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Before all else is imported: nothing that modules make at their import is
    # garbage, and to look for it took 8 of the 75 ms of processor time until
    # the settings are read (best of 30 starts, CPython 3.11), time in which a
    # host that was restarted forwards nothing.
    collector.pause()
    bound = _bind_early()
    from persimmonhinge.cmd import forward_host

    forward_host.run(bound)


def _bind_early() -> socket.socket | None:
    """Binds the socket of packets if its address is known before the settings.

    Guards against packets that are lost while the rest is imported: their
    callers send them again after 0.2 s or more, and the first one would have
    been forwarded by then. What can't be bound is said once the settings are
    read, and the address in them counts.
    """
    host, _, port = os.environ.get(PACKETS_VARIABLE, "").rpartition(":")
    if "--check" in sys.argv or not port.isdigit():
        return None
    try:
        return binding.bind((host, int(port)))
    except (OSError, OverflowError):
        return None


if __name__ == "__main__":
    main()
