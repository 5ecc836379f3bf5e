"""One notification of a feed."""

from __future__ import annotations

import dataclasses

import aiocoap


@dataclasses.dataclass(frozen=True, slots=True)
class Notification:
    """A state of the observed resource.

    Attributes:
        payload: The whole body.
        sequence: Observe number, None if the answer had none.
        code: CoAP code.
        renewed: True if it is the first since the feed was registered anew,
            so that it may repeat a state that was seen.
        piggybacked: True if it came in the acknowledgement of a registration,
            so that it is the reply to it.
    """

    payload: bytes
    sequence: int | None
    code: aiocoap.Code
    renewed: bool = False
    piggybacked: bool = False
