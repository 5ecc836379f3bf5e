"""Reads the settings of a host that forwards packets, and runs it."""

from __future__ import annotations

import os
import sys

from persimmonhinge import early_logs
from persimmonhinge import errors
from persimmonhinge import process_end
from persimmonhinge.forwarding import binding
from persimmonhinge.forwarding import core as cores
from persimmonhinge.forwarding import settings as forward_settings
from persimmonhinge.forwarding import settings_file
from persimmonhinge.forwarding import startup
from persimmonhinge.platform import adapter
from persimmonhinge.store import blocking_transport

CHECK_OPTION = "--check"


def run() -> None:
    """Runs a host until SIGTERM, which is a planned stop.

    The settings file is named by the first argument or, without one, by a
    variable of the platform. With `--check` the settings are checked only.
    The words are read without a library for command lines: to import one takes
    0.1 s of processor time, which a small host must not spend on its start.
    """
    words = [word for word in sys.argv[1:] if word != CHECK_OPTION]
    path = words[0] if words else os.environ.get(adapter.SETTINGS_VARIABLE, "")
    file = settings_file.SettingsFile(path)
    try:
        if CHECK_OPTION in sys.argv:
            file.load()
            print(f"{path}: settings are good")
            return
        settings = file.load_at_start()
        process_end.name_host(settings.host)
        bound = binding.bind_packet_socket(
            forward_settings.parse_endpoint(settings.packets)
        )
    except (errors.SettingsError, OSError) as error:
        process_end.end_with_bad_settings(error)
    core = cores.ForwardCore(
        settings, bound, adapter.PacketFormat(), adapter.EntryFormat()
    )
    store = adapter.make_reader(
        (settings.store.address,),
        blocking_transport.BlockingTransport,
        settings.first_call_limit_s,
        refusals=core.refusals,
        knows_entries=core.knows_entries,
        max_read_s=startup.MAX_READ_S,
    )
    startup.forward_during_imports(lambda: _import_rest(core), core, store)
    _run(core, file)
    process_end.end_planned("planned stop")


def _import_rest(core: cores.ForwardCore) -> None:
    # First, so that callers that return after an outage are soon admitted at
    # the pace of the upstreams.
    core.start_overload_control()
    from persimmonhinge import structured_logs

    settings = core.settings
    structured_logs.configure(settings.host, settings.log_level)
    early_logs.release()
    from persimmonhinge.forwarding import program  # noqa: F401


def _run(core: cores.ForwardCore, file: settings_file.SettingsFile) -> None:
    from persimmonhinge.forwarding import program

    program.run(core, adapter.make_reader, file)
