"""Options of persimmonhinge from the experimental range of RFC 7252."""

from __future__ import annotations

from aiocoap import optiontypes
from aiocoap.numbers import optionnumbers

# Elective (even), safe to forward: milliseconds that the caller still waits.
DEADLINE = optionnumbers.OptionNumber(65002)
DEADLINE.format = optiontypes.UintOption
