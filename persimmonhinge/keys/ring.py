"""The ring of ticket keys."""

from __future__ import annotations

import base64
import binascii
import enum
from typing import Self

import pydantic

MAX_KEY_ID = 255
SECRET_OCTETS = 32
LEAST_SECRET_OCTETS = 16


class KeyState(enum.Enum):
    """What a key may do.

    NEXT: It is accepted but mints nothing yet, until all hosts know it.
    CURRENT: It mints and is accepted.
    FORMER: It is accepted but mints nothing, until its tickets expired.
    """

    NEXT = "next"
    CURRENT = "current"
    FORMER = "former"


class TicketKey(pydantic.BaseModel):
    """One key.

    Attributes:
        key_id: 0 to 255, carried in tickets.
        secret: The secret, base64. Never logged or shown.
        state: What it may do.
    """

    # Errors would otherwise quote the input, which is secret.
    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, hide_input_in_errors=True
    )

    key_id: int = pydantic.Field(ge=0, le=MAX_KEY_ID)
    secret: pydantic.SecretStr
    state: KeyState

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        try:
            octets = len(self.read_secret())
        except binascii.Error:
            octets = 0
        if octets < LEAST_SECRET_OCTETS:
            raise ValueError(
                f"secret is to be base64 of {LEAST_SECRET_OCTETS} octets"
            )
        return self

    def read_secret(self) -> bytes:
        """Returns the octets of the secret."""
        return base64.b64decode(self.secret.get_secret_value(), validate=True)


class KeyRing(pydantic.BaseModel):
    """All keys that are accepted; a key that is not in it is retired.

    Attributes:
        keys: The keys.
    """

    model_config = pydantic.ConfigDict(
        extra="ignore", frozen=True, hide_input_in_errors=True
    )

    keys: tuple[TicketKey, ...] = ()

    @pydantic.model_validator(mode="after")
    def _check(self) -> Self:
        if len({key.key_id for key in self.keys}) != len(self.keys):
            raise ValueError("a key id stands twice")
        current = [k for k in self.keys if k.state is KeyState.CURRENT]
        if len(current) > 1:
            raise ValueError("more than one key is current")
        return self

    def current(self) -> TicketKey | None:
        """Returns the key that mints, None if there is none."""
        for key in self.keys:
            if key.state is KeyState.CURRENT:
                return key
        return None

    def find(self, key_id: int) -> TicketKey | None:
        """Returns a key that is accepted, None if it is not in the ring."""
        for key in self.keys:
            if key.key_id == key_id:
                return key
        return None
