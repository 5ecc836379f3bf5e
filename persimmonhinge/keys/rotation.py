"""Steps of the rotation of ticket keys, in the only order that is safe."""

from __future__ import annotations

import base64
from collections.abc import Mapping
import dataclasses
import json
import secrets

import pydantic

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.keys import ring as rings

_STEP = "rotate ticket keys"


@dataclasses.dataclass(frozen=True, slots=True)
class HostKeys:
    """What one host tells of its ring.

    Attributes:
        revision: Revision of the ring that it holds.
        age_s: Seconds on its own clock since it took that ring in.
    """

    revision: ids.Revision
    age_s: float


HostReports = Mapping[ids.HostId, HostKeys | None]


def make_ring() -> rings.KeyRing:
    """Returns a ring with one new key that mints."""
    return rings.KeyRing(keys=(_make_key(0, rings.KeyState.CURRENT),))


def add_next(ring: rings.KeyRing) -> rings.KeyRing:
    """Adds a key that is accepted but mints nothing yet.

    Raises:
        KeyRingError: There is a next key already, or no id is free.
    """
    if _find(ring, rings.KeyState.NEXT):
        raise _make_error("there is a next key already: promote it first")
    used = {key.key_id for key in ring.keys}
    newest = max(used, default=-1)
    # Ids go on from the newest, so that a retired one comes back late.
    for offset in range(1, rings.MAX_KEY_ID + 2):
        key_id = (newest + offset) % (rings.MAX_KEY_ID + 1)
        if key_id not in used:
            return _with(ring, _make_key(key_id, rings.KeyState.NEXT))
    raise _make_error("no key id is free: retire former keys first")


def promote(
    ring: rings.KeyRing, revision: ids.Revision, hosts: HostReports
) -> rings.KeyRing:
    """Lets the next key mint; the current one becomes a former one.

    Guards against tickets that a host can't check: one that does not know
    the new key yet would refuse what others mint with it.

    Args:
        ring: The ring as it stands in the platform.
        revision: Its revision there.
        hosts: What each live host tells; None if it gave no answer.

    Raises:
        KeyRingError: There is no next key, or a host does not know it.
    """
    following = _find(ring, rings.KeyState.NEXT)
    if not following:
        raise _make_error("there is no next key: add one first")
    _check_known(revision, hosts)
    states = {
        rings.KeyState.NEXT: rings.KeyState.CURRENT,
        rings.KeyState.CURRENT: rings.KeyState.FORMER,
        rings.KeyState.FORMER: rings.KeyState.FORMER,
    }
    keys = tuple(
        key.model_copy(update={"state": states[key.state]}) for key in ring.keys
    )
    return rings.KeyRing(keys=keys)


def retire(
    ring: rings.KeyRing,
    revision: ids.Revision,
    hosts: HostReports,
    ticket_life_s: float,
) -> rings.KeyRing:
    """Removes the former keys, so that no host accepts them any more.

    Guards against flows that break: a ticket of a former key is good until
    it expires. No host mints one after it has taken in the ring in which the
    key is a former one, so all have expired once each host has held that
    ring for the life of a ticket. Each host measures on its own clock.

    Args:
        ring: The ring as it stands in the platform.
        revision: Its revision there.
        hosts: What each live host tells; None if it gave no answer.
        ticket_life_s: Life of a ticket, seconds.

    Raises:
        KeyRingError: There is no former key, or a host has not held the
            ring for long enough.
    """
    if not _find(ring, rings.KeyState.FORMER):
        raise _make_error("there is no former key")
    if _find(ring, rings.KeyState.NEXT):
        raise _make_error("there is a next key: promote it first")
    _check_known(revision, hosts)
    for host, known in sorted(hosts.items()):
        if known is not None and known.age_s < ticket_life_s:
            left_s = ticket_life_s - known.age_s
            raise _make_error(f"wait {left_s:.0f} s more", host)
    keys = tuple(
        key for key in ring.keys if key.state is not rings.KeyState.FORMER
    )
    return rings.KeyRing(keys=keys)


def write_body(ring: rings.KeyRing) -> bytes:
    """Returns a ring as JSON with its secrets, for the platform alone."""
    keys = [
        {
            "key_id": key.key_id,
            "secret": key.secret.get_secret_value(),
            "state": key.state.value,
        }
        for key in ring.keys
    ]
    return json.dumps({"keys": keys}).encode()


def _check_known(revision: ids.Revision, hosts: HostReports) -> None:
    if not hosts:
        raise _make_error("no host has told what it knows")
    for host, known in sorted(hosts.items()):
        if known is None:
            raise _make_error("gave no answer", host)
        if known.revision != revision:
            raise _make_error(
                f"holds revision {known.revision}, not {revision}", host
            )


def _find(ring: rings.KeyRing, state: rings.KeyState) -> list[int]:
    return [key.key_id for key in ring.keys if key.state is state]


def _with(ring: rings.KeyRing, key: rings.TicketKey) -> rings.KeyRing:
    return rings.KeyRing(keys=(*ring.keys, key))


def _make_key(key_id: int, state: rings.KeyState) -> rings.TicketKey:
    octets = secrets.token_bytes(rings.SECRET_OCTETS)
    secret = pydantic.SecretStr(base64.b64encode(octets).decode())
    return rings.TicketKey(key_id=key_id, secret=secret, state=state)


def _make_error(text: str, host: str = "") -> errors.KeyRingError:
    return errors.KeyRingError(text, step=_STEP, peer=host)
