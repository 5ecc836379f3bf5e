"""Imports all sections, so that they are registered."""

from __future__ import annotations

from persimmonhinge.forwarding.room_sections import decisions  # noqa: F401
from persimmonhinge.forwarding.room_sections import domains  # noqa: F401
from persimmonhinge.forwarding.room_sections import held_back  # noqa: F401
from persimmonhinge.forwarding.room_sections import parts  # noqa: F401
from persimmonhinge.forwarding.room_sections import placements  # noqa: F401
from persimmonhinge.forwarding.room_sections import routes  # noqa: F401
from persimmonhinge.forwarding.room_sections import services  # noqa: F401
from persimmonhinge.forwarding.room_sections import waiting  # noqa: F401
