"""What an operator's command says about the change that it asks for."""

from __future__ import annotations

import dataclasses
import datetime
import secrets

from persimmonhinge import ids

_ID_OCTETS = 8


def make_request_id() -> ids.RequestId:
    """Returns a new id; no two commands draw the same."""
    return ids.RequestId(secrets.token_hex(_ID_OCTETS))


def _read_clock() -> datetime.datetime:
    now = datetime.datetime.now(datetime.UTC)
    return now.replace(microsecond=now.microsecond // 1000 * 1000)


@dataclasses.dataclass(frozen=True)
class ChangeRequest:
    """Who asks for a change, and under which id.

    Attributes:
        operator: Who asks.
        request_id: Id of the command; a repeat with the same id finds out
            what became of the first and changes nothing twice.
        is_repeat: True if the id was given, so that the audit trail has to
            be searched for it.
        reason: What the operator says about it.
        at: Wall clock, for people only.
    """

    operator: str
    request_id: ids.RequestId = dataclasses.field(
        default_factory=make_request_id
    )
    is_repeat: bool = False
    reason: str = ""
    at: datetime.datetime = dataclasses.field(default_factory=_read_clock)
