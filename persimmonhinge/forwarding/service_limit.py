"""Limit on the services that a host remembers."""

from __future__ import annotations

from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    from typing import Any

# Maximum number of services, or of their priorities, that a part of a host
# remembers: several times those of a large deployment.
MAX_SERVICES = 1024


def remove_oldest(by_service: dict[Any, Any]) -> None:
    """Removes what was added first, if there are too many services.

    Guards against memory use that grows with each service that a desired state
    ever named. To be called when a service was added.
    """
    while len(by_service) > MAX_SERVICES:
        del by_service[next(iter(by_service))]
