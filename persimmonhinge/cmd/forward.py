"""The program `persimmonhinge-forward`: one host that forwards packets."""

from __future__ import annotations

import logging
import os
import signal
import sys

from persimmonhinge import errors
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import startup
from persimmonhinge.platform import adapter
from persimmonhinge.store import blocking_transport

logger = logging.getLogger(__name__)

EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Runs a host until SIGTERM, which is a planned stop.

    The settings file is named by the first argument or by the variable
    `PERSIMMONHINGE_NODE_FILE`.
    """
    # The default action would end a host that is told of new settings before
    # it follows signals.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    named = sys.argv[1:2] or [os.environ.get(adapter.SETTINGS_VARIABLE, "")]
    try:
        settings = forward_settings.load(named[0])
        bound = binding.bind(forward_settings.parse_endpoint(settings.packets))
    except (errors.SettingsError, OSError) as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    structured_logs.configure(settings.host, settings.log_level)
    core = cores.ForwardCore(
        settings, bound, adapter.PacketFormat(), adapter.EntryFormat()
    )
    store = adapter.make_store(
        (settings.store.address,),
        blocking_transport.BlockingTransport,
        settings.first_call_limit_s,
    )
    startup.forward_during(_import_rest, core, store)
    _run(core)


def _import_rest() -> None:
    from persimmonhinge.forwarding import program  # noqa: F401


def _run(core: cores.ForwardCore) -> None:
    from persimmonhinge.forwarding import program

    program.run(core, adapter.make_store)


if __name__ == "__main__":
    main()
