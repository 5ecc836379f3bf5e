"""What a forwarding host tells of demand and room over HTTP."""

from __future__ import annotations

from typing import Any

import pydantic

Row = dict[str, Any]


class HostRoom(pydantic.BaseModel):
    """The page `/room`; its other fields are the sections.

    Sections are kept whatever their names are, so that those of newer hosts are
    shown, too.

    Attributes:
        host: Name of the host.
        domain: Its failure domain.
        enabled: Whether overload control is on.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)

    __pydantic_extra__: dict[str, list[Row]] = pydantic.Field(init=False)

    host: str
    domain: str
    enabled: bool

    def list_sections(self) -> dict[str, list[Row]]:
        """Returns the rows of each section by its name."""
        return dict(self.__pydantic_extra__)
