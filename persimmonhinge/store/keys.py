"""Keys of a deployment in the platform, below its prefix."""

from __future__ import annotations

from persimmonhinge import ids

CONTRACTS = "contracts/"
AUDIT = "audit/"
# Behind all keys of the audit trail, before all that hosts follow.
AFTER_AUDIT = "audit0"
# Written with every change that operators make; see `contracts.audit_trail`.
AUDIT_HEAD = "audit-head"
TICKET_KEYS = "keys/tickets"
HOST_DRAINS = "drains/"
# The platform's own list of live and leaving hosts; it lags behind.
HOSTS = "hosts/"


def contract_key(prefix: str, service: ids.ServiceName) -> str:
    """Returns the key of a contract."""
    return f"{prefix}{CONTRACTS}{service}"


def host_key(prefix: str, host: ids.HostId) -> str:
    """Returns the key of a host in the platform's list."""
    return f"{prefix}{HOSTS}{host}"


def drain_key(prefix: str, host: ids.HostId) -> str:
    """Returns the key that asks a host to leave."""
    return f"{prefix}{HOST_DRAINS}{host}"
