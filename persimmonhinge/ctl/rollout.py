"""Which hosts hold which revision of a contract."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any

from persimmonhinge.ctl import host_client


class HoldState(enum.Enum):
    """How a host stands with a revision.

    IN_FORCE: It holds it, or a newer one.
    AHEAD: It holds one newer than any in the platform, which was restored
        from an older copy; the host refuses what the platform has.
    OTHER: It holds another contract at this revision, which a platform that
        was restored from an older copy gave a second time.
    BEHIND: It answers and holds an older one, or none.
    NO_ANSWER: It gave no answer; what it holds is not known.
    """

    IN_FORCE = "in-force"
    AHEAD = "ahead"
    OTHER = "other"
    BEHIND = "behind"
    NO_ANSWER = "no-answer"


@dataclasses.dataclass(frozen=True)
class Goal:
    """What hosts should hold.

    Attributes:
        service: Name of the service.
        revision: Revision of its contract, or of its delete.
        newest: Newest revision of it that the platform has; it is read after
            the hosts were asked, so that no host is ahead of it by a change
            in between. None if it was not read.
        digest: Hash of the contract in the platform; empty if not known.
        is_deleted: True for a delete: a host that started later, and never
            knew the contract, is in line with it.
    """

    service: str
    revision: int
    newest: int | None = None
    digest: str = ""
    is_deleted: bool = False


@dataclasses.dataclass(frozen=True)
class HostRevision:
    """What one host holds.

    Attributes:
        host: Its name.
        domain: Its failure domain, None if unknown.
        revision: The revision that it holds, None if unknown.
        state: How it stands.
        problem: Why it gave no answer.
    """

    host: str
    domain: str | None
    revision: int | None
    state: HoldState
    problem: str = ""


@dataclasses.dataclass(frozen=True)
class Rollout:
    """How far a revision has come.

    Attributes:
        service: Name of the service.
        revision: The revision.
        hosts: What each host holds.
    """

    service: str
    revision: int
    hosts: tuple[HostRevision, ...]

    @property
    def is_complete(self) -> bool:
        """True if it is in force on all hosts that answer, and one does."""
        states = {host.state for host in self.hosts}
        return states - {HoldState.NO_ANSWER} == {HoldState.IN_FORCE}

    @property
    def newest(self) -> int:
        """The newest revision that a host holds."""
        return max((host.revision or 0 for host in self.hosts), default=0)

    def count(self, state: HoldState) -> int:
        """Returns how many hosts are in a state."""
        return sum(host.state is state for host in self.hosts)

    def describe(self) -> str:
        """Returns one line."""
        counts = [f"{self.count(state)} {state.value}" for state in HoldState]
        return f"revision {self.revision}: {', '.join(counts)}"

    def to_document(self) -> dict[str, Any]:
        """Returns it as JSON."""
        return {
            "service": self.service,
            "revision": self.revision,
            "complete": self.is_complete,
            "hosts": [
                {**dataclasses.asdict(host), "state": host.state.value}
                for host in self.hosts
            ],
        }


def compute(goal: Goal, reports: Sequence[host_client.HostReport]) -> Rollout:
    """Returns how far a revision has come."""
    hosts = tuple(_judge(goal, report) for report in reports)
    return Rollout(goal.service, goal.revision, hosts)


def _judge(goal: Goal, report: host_client.HostReport) -> HostRevision:
    if report.status is None:
        return HostRevision(
            report.name,
            report.domain,
            None,
            HoldState.NO_ANSWER,
            report.problem,
        )
    held = report.status.contracts.get(goal.service)
    state = _compare(goal, held)
    digest = report.status.contract_digests.get(goal.service, goal.digest)
    # Guards against a change reported as in force where hosts hold another
    # contract under its number: of two at one revision they all keep one.
    if held == goal.revision and goal.digest and digest != goal.digest:
        state = HoldState.OTHER
    return HostRevision(report.name, report.domain, held, state)


def _compare(goal: Goal, held: int | None) -> HoldState:
    if held is None:
        return HoldState.IN_FORCE if goal.is_deleted else HoldState.BEHIND
    # Guards against a change reported as in force that no host took in:
    # after a restore the platform gives revisions again that hosts passed
    # long ago, so that what they hold is newer by number and older in fact.
    if goal.newest is not None and held > max(goal.newest, goal.revision):
        return HoldState.AHEAD
    return HoldState.IN_FORCE if held >= goal.revision else HoldState.BEHIND
