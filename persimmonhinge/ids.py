"""Names of things, one type each, so that they cannot be mixed up."""

from __future__ import annotations

from persimmonhinge.light_typing import NewType

HostId = NewType("HostId", str)
DomainId = NewType("DomainId", str)
RegionId = NewType("RegionId", str)
ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
# What an upstream is called, whichever process runs under it.
UpstreamName = NewType("UpstreamName", str)
CallClassName = NewType("CallClassName", str)

# Milliseconds of the wall clock at the start of the process, raised above
# any earlier one of the same host name that peers report.
Incarnation = NewType("Incarnation", int)

# 32-bit hash of a host name and its incarnation: what tickets carry.
HostRef = NewType("HostRef", int)

# mod_revision of a contract's key in the platform.
Revision = NewType("Revision", int)

TicketId = NewType("TicketId", bytes)
RequestId = NewType("RequestId", str)
FeedId = NewType("FeedId", int)
