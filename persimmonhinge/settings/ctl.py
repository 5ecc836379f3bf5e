"""Settings of `persimmonhinge-ctl`."""

from __future__ import annotations

import pydantic

from persimmonhinge.settings import entry


class CtlSettings(entry.Part):
    """All settings of the operators' command line.

    Attributes:
        platform: The platform's key-value service.
        operator: Who works here, for the audit trail; None takes the name
            of the login.
        hosts: Base URLs of hosts' HTTP pages; the platform's host list adds
            to them. They serve while the platform is down.
        host_timeout_s: Limit for one question to a host, seconds.
        change_limit_s: Time in which a change has to be settled, seconds.
        audit_entries: Entries that the audit trail keeps.
        ticket_life_s: Life of a ticket as the hosts have it, seconds; keys
            are retired no earlier.
    """

    platform: entry.PlatformSettings
    operator: str | None = pydantic.Field(default=None, min_length=1)
    hosts: tuple[str, ...] = ()
    host_timeout_s: float = pydantic.Field(default=2.0, gt=0, le=60)
    change_limit_s: float = pydantic.Field(default=15.0, gt=0, le=600)
    audit_entries: int = pydantic.Field(default=10_000, ge=10, le=1_000_000)
    ticket_life_s: float = pydantic.Field(default=120.0, gt=0, le=3600)

    @pydantic.field_validator("hosts")
    @classmethod
    def _check_hosts(cls, value: tuple[str, ...]) -> tuple[str, ...]:
        for url in value:
            if not url.startswith(("http://", "https://")):
                raise ValueError("is to be written as http://address:port")
        return tuple(url.rstrip("/") for url in value)
