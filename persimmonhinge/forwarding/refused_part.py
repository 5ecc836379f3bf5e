"""A part of a desired state that can't be read."""

from __future__ import annotations

import enum

from persimmonhinge import errors
from persimmonhinge import records
from persimmonhinge.forwarding import route


class Section(enum.Enum):
    """What a part of a desired state describes."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


class RefusedPart(records.Record, frozen=True):
    """A part of a desired state that can't be read.

    Attributes:
        section: What it describes.
        error: Why it was refused.
        name: Name of the route or service; None if it can't be read either.
        address: Address of the route; None if it can't be read either.
    """

    section: Section
    error: errors.UnreadableEntryError
    name: str | None = None
    address: route.RouteAddress | None = None
