"""Asks hosts for their status, all at once."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from typing import Self
from typing import TypeVar

import httpx
import pydantic
import trio

from persimmonhinge import errors
from persimmonhinge.ctl import host_directory
from persimmonhinge.ctl import host_room
from persimmonhinge.ctl import host_status
from persimmonhinge.membership import member as members

T = TypeVar("T", bound=pydantic.BaseModel)
_NOT_FOUND = 404
# States of members that serve callers.
_SERVES = (members.MemberState.ALIVE.value, members.MemberState.SUSPECT.value)


@dataclasses.dataclass(frozen=True)
class HostReport:
    """What became of a question to a host.

    Attributes:
        target: The host.
        status: Its answer, None if there was none.
        problem: Why there was none.
    """

    target: host_directory.HostTarget
    status: host_status.HostStatus | None
    problem: str = ""

    @property
    def name(self) -> str:
        """Name of the host, or its URL if no name is known."""
        return self.status.host if self.status else self.target.name

    @property
    def domain(self) -> str | None:
        """Failure domain of the host, None if unknown."""
        if self.status:
            return self.status.domain
        return self.target.listed.domain if self.target.listed else None

    @property
    def is_expected(self) -> bool:
        """True if it should answer: it is not known to leave."""
        listed = self.target.listed
        return listed is None or listed.state != "leaving"


def find_unlisted(reports: Sequence[HostReport]) -> list[HostReport]:
    """Returns hosts that others believe alive and that were not asked.

    Guards against a change taken for complete: the platform's list lags
    behind, and a host that has just joined is not in it yet.
    """
    names = {report.name for report in reports}
    unlisted: dict[str, HostReport] = {}
    for report in reports:
        for member in report.status.members if report.status else ():
            if member.state in _SERVES and member.host not in names:
                target = host_directory.HostTarget(None, seen=member.host)
                problem = f"not in the host list; seen by {report.name}"
                unlisted[member.host] = HostReport(target, None, problem)
    return list(unlisted.values())


class HostClient:
    """Speaks HTTP with hosts; use it in `async with`."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        # Hosts serve their pages without TLS; see the operations page.
        self._http = httpx.AsyncClient(
            verify=False, trust_env=False, timeout=None
        )

    async def __aenter__(self) -> Self:
        """Returns itself."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def ask_all(
        self, targets: Sequence[host_directory.HostTarget]
    ) -> list[HostReport]:
        """Asks all hosts for their status at once; none raises."""
        reports: dict[int, HostReport] = {}

        async def ask(index: int) -> None:
            reports[index] = await self._ask(targets[index])

        async with trio.open_nursery() as nursery:
            for index in range(len(targets)):
                nursery.start_soon(ask, index)
        return sorted(reports.values(), key=lambda report: report.name)

    async def explain(
        self, url: str, service: str, caller: str
    ) -> host_status.RouteExplanation | None:
        """Asks a host where a flow goes; None for an unknown service.

        Raises:
            PeerError: The host gave no answer that can be read.
        """
        path = f"{url}/explain"
        query = {"service": service, "caller": caller}
        return await self._get(path, query, host_status.RouteExplanation)

    async def read_room(self, url: str) -> host_room.HostRoom:
        """Asks a forwarding host for its page `/room`.

        Raises:
            PeerError: The host gave no answer that can be read, or it has no
                such page.
        """
        room = await self._get(f"{url}/room", {}, host_room.HostRoom)
        if room is None:
            raise errors.PeerError(
                "it has no page /room; name the address of the pages of a host "
                "that forwards packets (settings `pages` or `metrics_port`)",
                step="ask host",
                peer=url,
            )
        return room

    async def _ask(self, target: host_directory.HostTarget) -> HostReport:
        if target.url is None:
            return HostReport(target, None, "the host list has no metrics port")
        try:
            status = await self._get(
                f"{target.url}/status", {}, host_status.HostStatus
            )
        except errors.PeerError as error:
            return HostReport(target, None, str(error))
        if status is None:
            return HostReport(target, None, f"{target.url} has no status page")
        return HostReport(target, status)

    async def _get(
        self, url: str, query: dict[str, str], kind: type[T]
    ) -> T | None:
        step = "ask host"
        try:
            with trio.fail_after(self._timeout_s):
                response = await self._http.get(url, params=query)
            if response.status_code == _NOT_FOUND:
                return None
            response.raise_for_status()
            return kind.model_validate_json(response.content)
        except trio.TooSlowError as error:
            text = f"no answer in {self._timeout_s} s"
            raise errors.PeerError(text, step=step, peer=url) from error
        except httpx.HTTPError as error:
            text = str(error) or type(error).__name__
            raise errors.PeerError(text, step=step, peer=url) from error
        except pydantic.ValidationError as error:
            text = "its answer can't be read"
            raise errors.PeerError(text, step=step, peer=url) from error
