"""This host's view of all hosts, read by all components of the host."""

from __future__ import annotations

from collections.abc import Iterable

from persimmonhinge import changes
from persimmonhinge import ids
from persimmonhinge.membership import isolation
from persimmonhinge.membership import member as member_module


class View:
    """The members that this host knows, including itself.

    Only membership modifies the view. Each change of a member's incarnation,
    state or address announces `changed`.

    Attributes:
        me: Name of this host.
        changed: Signal that is announced at each change.
        isolation: Detects that this host receives nothing from other hosts.
    """

    def __init__(self, me: member_module.Member) -> None:
        self.me = me.host
        self.changed = changes.ChangeSignal()
        self.isolation = isolation.IsolationDetector()
        self._members: dict[ids.HostId, member_module.Member] = {me.host: me}
        # Each packet with a ticket needs a lookup by ref. The index is rebuilt
        # once per change because hashing every member for each packet is too
        # expensive.
        self._ref_index: dict[ids.HostRef, member_module.Member | None] = {}
        self._ref_index_version = -1

    @property
    def self_member(self) -> member_module.Member:
        """The member that represents this host."""
        return self._members[self.me]

    def get(self, host: ids.HostId) -> member_module.Member | None:
        """Returns a member by name; None if it is unknown."""
        return self._members.get(host)

    def find_by_ref(self, ref: ids.HostRef) -> member_module.Member | None:
        """Returns the member with a host ref; None if unknown or dead.

        If two incarnations have the same ref (probability about 4e-5 at 610
        hosts), the result is None: the outcome of a request is then reported
        as unknown instead of wrong.
        """
        if self._ref_index_version != self.changed.version:
            self._ref_index_version = self.changed.version
            self._ref_index = _index_refs(self._members.values())
        found = self._ref_index.get(ref)
        return found if found is not None and found.is_alive else None

    def all(self) -> Iterable[member_module.Member]:
        """Returns all members, including dead ones."""
        return tuple(self._members.values())

    def role_candidates(self) -> list[member_module.Member]:
        """Returns the members that may be a home or a keeper."""
        return [m for m in self._members.values() if m.accepts_roles]

    def put(self, member: member_module.Member) -> None:
        """Adds a member or replaces the one of the same name."""
        if self._members.get(member.host) == member:
            return
        self._members[member.host] = member
        self.changed.announce()

    def remove(self, host: ids.HostId) -> None:
        """Removes another host from the view; ignores this host."""
        if host == self.me or host not in self._members:
            return
        del self._members[host]
        self.changed.announce()


def _index_refs(
    all_members: Iterable[member_module.Member],
) -> dict[ids.HostRef, member_module.Member | None]:
    """Returns the member of each ref; None where two members share it."""
    found: dict[ids.HostRef, member_module.Member | None] = {}
    for member in all_members:
        ref = member.ref
        found[ref] = None if ref in found else member
    return found
