"""What operators drain: hosts and failure domains; records move forward."""

from __future__ import annotations

from persimmonhinge import changes
from persimmonhinge import ids
from persimmonhinge.peers.messages import control

# Before the name of a failure domain where drains name hosts; no name has a
# colon.
_DOMAIN_MARK = "domain:"


def make_domain_target(domain: ids.DomainId) -> ids.HostId:
    """Returns the name under which a failure domain is drained."""
    return ids.HostId(f"{_DOMAIN_MARK}{domain}")


def is_domain_target(target: ids.HostId) -> bool:
    """Tells whether a drain is that of a failure domain."""
    return target.startswith(_DOMAIN_MARK)


def read_domain(target: ids.HostId) -> ids.DomainId:
    """Returns the failure domain of a drain that is one's."""
    return ids.DomainId(target.removeprefix(_DOMAIN_MARK))


class DrainStore:
    """Holds the newest drain record of each host and failure domain.

    Attributes:
        changed: Announced at each record that is taken in.
    """

    def __init__(self) -> None:
        self.changed = changes.ChangeSignal()
        self._records: dict[ids.HostId, control.DrainRecord] = {}

    def offer(self, record: control.DrainRecord) -> bool:
        """Takes in a record if it is newer than what is known.

        Guards against a drain that was taken back, or a host that was taken
        back into work, when an old record comes late; see `ContractStore`.

        Returns:
            True if it was taken in.
        """
        known = self._records.get(record.host)
        if known is not None and known.version >= record.version:
            return False
        self._records[record.host] = record
        self.changed.announce()
        return True

    def is_drained(self, host: ids.HostId) -> bool:
        """Tells whether operators ask a host to leave."""
        record = self._records.get(host)
        return record is not None and record.drained

    def drained(self) -> list[ids.HostId]:
        """Returns all hosts that are asked to leave, in order."""
        drained = (r.host for r in self._records.values() if r.drained)
        return sorted(h for h in drained if not is_domain_target(h))

    def evacuated(self) -> frozenset[ids.DomainId]:
        """Returns the failure domains whose upstreams get no new work."""
        return frozenset(
            read_domain(record.host)
            for record in self._records.values()
            if record.drained and is_domain_target(record.host)
        )

    def get_record(self, host: ids.HostId) -> control.DrainRecord | None:
        """Returns the record of a host, None if it was never known."""
        return self._records.get(host)

    def records(self) -> list[control.DrainRecord]:
        """Returns all records, tombstones included."""
        return list(self._records.values())

    def revisions(self) -> dict[str, int]:
        """Returns the revision of each host, tombstones included."""
        return {r.host: r.revision for r in self._records.values()}
