"""The logs in which upstreams write what they ran."""

from __future__ import annotations

from collections.abc import Iterable
import logging
import pathlib

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids

logger = logging.getLogger(__name__)

RUN = "run"
MISROUTED = "misrouted"
FEEDS = "feeds"


class Execution(msgspec.Struct, frozen=True):
    """One line of a log; other fields are passed over.

    Attributes:
        kind: RUN for a request that ran, MISROUTED for one that was meant
            for another service, FEEDS for a feed that was opened or
            closed; others are passed over.
        key: Key in the body of the request, None if it has none.
        service: Service of the upstream.
        upstream: Id of the upstream.
        t: Wall clock, seconds since the epoch.
        feeds: Feeds that are open from now on.
    """

    kind: str
    key: str | None = None
    service: ids.ServiceName = ids.ServiceName("")
    upstream: ids.UpstreamId = ids.UpstreamId("")
    t: float = 0.0
    feeds: int = 0


def read_executions(paths: Iterable[pathlib.Path]) -> list[Execution]:
    """Reads logs of JSON lines; a last line that is cut short is left out.

    Raises:
        SettingsError: A log can't be read or is not of JSON lines.
    """
    decoder = msgspec.json.Decoder(Execution)
    executions = []
    for path in paths:
        lines = _read_lines(path)
        for number, line in enumerate(lines, start=1):
            try:
                executions.append(decoder.decode(line))
            except msgspec.DecodeError as error:
                raise errors.SettingsError(
                    f"line {number}: {error}",
                    step="read execution log",
                    peer=str(path),
                ) from error
    return executions


def _read_lines(path: pathlib.Path) -> list[bytes]:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise errors.SettingsError(
            str(error), step="read execution log", peer=str(path)
        ) from error
    *lines, rest = data.split(b"\n")
    if rest:
        logger.warning("The last line of %s is cut short.", path)
    return [line for line in lines if line]
