"""The head of the users' packets."""

from __future__ import annotations

import struct

# Routing token (`echo`), sequence, acknowledged, flags, `pad`, `sum`, length
# of the data, then port of the receiving end, address of the sending end,
# address of the receiving end, port of the sending end.
HEAD = struct.Struct(">IIIB5sIHHIIH")
TOKEN = struct.Struct(">I")
UPSTREAM_NUMBER = struct.Struct(">Q")
MOST_DATA_OCTETS = 1200
OPENS = 1
ACKNOWLEDGES = 2
ABORTS = 32
ENDS = 128
NO_PAD = bytes(5)
