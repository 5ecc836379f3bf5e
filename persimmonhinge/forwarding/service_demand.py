"""Demand for a service, as hosts report it to each other."""

from __future__ import annotations

import xxhash

from persimmonhinge import ids
from persimmonhinge.light_typing import NamedTuple


class ServiceDemand(NamedTuple):
    """Demand for one service at the reporting host; an array in messages.

    Attributes:
        service: Hash of the name of the service; see `hash_service`.
        own: Demand of the host, in hundredths of a slot.
        domain: Total demand of the host's failure domain, in hundredths of a
            slot.
    """

    service: int
    own: int
    domain: int


# Maximum value of each field: hashes have 32 bits.
MAX_VALUE = 2**32 - 1


def hash_service(service: ids.ServiceName) -> int:
    """Returns the hash that identifies a service in reports, 32 bits."""
    return xxhash.xxh32_intdigest(service.encode())
