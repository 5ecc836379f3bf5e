"""Applies changed settings while the host runs."""

from __future__ import annotations

import logging
import time

from persimmonhinge import errors
from persimmonhinge import structured_logs
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import input_source
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import settings as settings_module
from persimmonhinge.forwarding import settings_file
from persimmonhinge.forwarding.peers import peer_table

logger = logging.getLogger(__name__)

# Settings that take effect on a reload; all others need a restart.
_RELOADABLE_FIELDS = frozenset({"log_level", "seeds"})


class SettingsReloader:
    """Reloads the settings file and applies what needs no restart."""

    def __init__(
        self,
        file: settings_file.SettingsFile,
        settings: settings_module.ForwardSettings,
        peers: peer_table.PeerTable,
        refusals: refusals_module.Refusals,
    ) -> None:
        """Creates the reloader.

        Args:
            file: The settings file.
            settings: The settings that the host was started with.
            peers: The other hosts, to which new seeds are added.
            refusals: Records files that can't be used.
        """
        self._file = file
        self._started_with = settings
        self._settings = settings
        self._peers = peers
        self._refusals = refusals

    def is_file_changed(self) -> bool:
        """Returns whether the file was changed since it was last read."""
        return self._file.is_changed()

    def reload(self) -> None:
        """Reloads the file; on an error, the former settings stay in force."""
        source = input_source.InputSource.SETTINGS
        try:
            self._apply(self._file.load())
        except errors.RefusedSettingsError as error:
            self._refusals.record_refusal(source, self._file.path, error)
            logger.error("Keeps the former settings: %s.", error)
        except Exception as error:
            self._refusals.record_failure(source, self._file.path, error)

    def _apply(self, new_settings: settings_module.ForwardSettings) -> None:
        changed = _list_changed_fields(self._settings, new_settings)
        needs_restart = _list_changed_fields(self._started_with, new_settings)
        seeds = [
            # The port that this host uses until it is restarted.
            flow.Endpoint(address, self._started_with.report_port)
            for address in new_settings.seed_addresses()
        ]
        self._settings = new_settings
        structured_logs.set_level(new_settings.log_level)
        now = time.monotonic()
        for seed in seeds:
            self._peers.add(seed, now)
        logger.info(
            "Read the settings again.",
            extra={
                "changed": sorted(changed & _RELOADABLE_FIELDS),
                "needs_restart": sorted(needs_restart - _RELOADABLE_FIELDS),
            },
        )


def _list_changed_fields(
    former: settings_module.ForwardSettings,
    new: settings_module.ForwardSettings,
) -> set[str]:
    former_values = vars(former)
    return {
        name
        for name, value in vars(new).items()
        if value != former_values[name]
    }
