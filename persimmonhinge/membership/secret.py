"""The secret that authenticates heartbeats."""

from __future__ import annotations

import pathlib

from persimmonhinge import errors
from persimmonhinge.settings import entry

_STEP = "read heartbeat secret"


def read_secret(peers: entry.PeerSettings) -> bytes | None:
    """Returns the secret of the heartbeats, None if they are open.

    White space at the ends of the file does not count.

    Raises:
        SettingsError: The file can't be read or is empty.
    """
    path = peers.heartbeat_secret_file
    if path is None:
        return None
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise errors.SettingsError(str(error), step=_STEP, peer=path) from error
    if not secret:
        raise errors.SettingsError("the file is empty", step=_STEP, peer=path)
    return secret
