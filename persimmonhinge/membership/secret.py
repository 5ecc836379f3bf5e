"""Reads the secret that authenticates heartbeats."""

from __future__ import annotations

import pathlib

from persimmonhinge import errors
from persimmonhinge.settings import entry

_STEP = "read heartbeat secret"


def read_secret(peers: entry.PeerSettings) -> bytes | None:
    """Returns the heartbeat secret; None if heartbeats are unauthenticated.

    White space at the start and end of the file is ignored.

    Raises:
        SettingsError: The secret file cannot be read or is empty.
    """
    path = peers.heartbeat_secret_file
    if path is None:
        return None
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(str(error), step=_STEP, peer=path) from error
    if not secret:
        raise errors.SettingsError(
            "secret file is empty", step=_STEP, peer=path
        )
    return secret
