"""Contracts and repositories that tests of operators' changes share."""

from __future__ import annotations

from collections.abc import AsyncIterator
import contextlib

import trio

from persimmonhinge import ids
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import repository as repositories
from persimmonhinge.contracts import request as requests
from tests.standins import platform_memory

PREFIX = "/test/"
FLOOR = ids.ServiceName("floor")


def make_contract(
    service: str = "floor", port_number: int = 5683, slots: int = 2
) -> contracts.Contract:
    """Returns a contract with two upstreams next to its own port."""
    return contracts.Contract.model_validate(
        {
            "service": service,
            "address": f"10.0.0.1:{port_number}",
            "upstreams": [
                {
                    "id": f"{service}-{number}",
                    "address": f"10.0.1.{number}:{port_number}",
                    "domain": f"hall-{number}",
                    "slots": slots,
                }
                for number in (1, 2)
            ],
            "call_classes": [
                {"name": "reserve", "method": "POST", "path": "/lots/*"}
            ],
        }
    )


def make_request(
    operator: str = "anna", request_id: str = ""
) -> requests.ChangeRequest:
    """Returns a request; one with an id given is a repeat."""
    if not request_id:
        return requests.ChangeRequest(operator)
    return requests.ChangeRequest(
        operator, ids.RequestId(request_id), is_repeat=True
    )


class Operators:
    """Repositories on one platform.

    Attributes:
        platform: The platform.
        trail: The audit trail.
        contracts: The contracts.
    """

    def __init__(
        self, platform: platform_memory.MemoryPlatform, most_entries: int
    ) -> None:
        self.platform = platform
        self.trail = audit_trail.AuditTrail(platform, PREFIX, most_entries)
        self.writer = change_writer.ChangeWriter(platform, self.trail)
        self.contracts = repositories.ContractRepository(
            platform, PREFIX, self.writer
        )


@contextlib.asynccontextmanager
async def run_operators(
    most_entries: int = 1000,
) -> AsyncIterator[Operators]:
    """Runs a platform in memory."""
    async with trio.open_nursery() as nursery:
        platform = platform_memory.MemoryPlatform(nursery)
        yield Operators(platform, most_entries)
