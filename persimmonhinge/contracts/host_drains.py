"""Hosts and failure domains that operators drain, as in the platform."""

from __future__ import annotations

import pydantic

from persimmonhinge import config
from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import drains
from persimmonhinge.contracts import plan as plans
from persimmonhinge.contracts import request as requests
from persimmonhinge.store import keys
from persimmonhinge.store import port


class HostDrain(pydantic.BaseModel):
    """The value of a drain key; the drain lasts while the key exists.

    Attributes:
        host: Name of the host, or of the failure domain as `drains` names it.
        operator: Who asked.
        request_id: Id of the operator's command.
        written_at: Wall clock of the operator, ISO 8601, for people only.
        reason: What the operator said about it.
    """

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    host: str
    operator: str
    request_id: str
    written_at: str
    reason: str = ""


class HostDrains:
    """Reads the drains, and changes them with an audit entry each."""

    def __init__(
        self,
        platform: port.Platform,
        prefix: str,
        writer: change_writer.ChangeWriter,
    ) -> None:
        self._platform = platform
        self._prefix = prefix
        self._writer = writer

    async def list(self) -> dict[ids.HostId, HostDrain]:
        """Returns all drains by host.

        Raises:
            ContractError: One of them can't be read.
            PlatformError: The platform failed.
        """
        prefix = self._prefix + keys.HOST_DRAINS
        state = await self._platform.get_prefix(prefix)
        return {
            ids.HostId(pair.key.removeprefix(prefix)): _read(pair)
            for pair in state.values
        }

    async def drain(
        self, host: ids.HostId, request: requests.ChangeRequest
    ) -> audit.AuditRecord | None:
        """Asks a host to leave; None if it is asked already.

        Raises:
            PlatformError: See `ChangeWriter.run`.
        """
        drain = HostDrain(
            host=host,
            operator=request.operator,
            request_id=request.request_id,
            written_at=request.at.isoformat(),
            reason=request.reason,
        )
        return await self._change(host, drain, request)

    async def undrain(
        self, host: ids.HostId, request: requests.ChangeRequest
    ) -> audit.AuditRecord | None:
        """Takes a host back; None if it was not asked to leave.

        Raises:
            PlatformError: See `ChangeWriter.run`.
        """
        return await self._change(host, None, request)

    async def list_evacuated(self) -> dict[ids.DomainId, HostDrain]:
        """Returns the evacuations by failure domain.

        Raises:
            ContractError: One of the drains can't be read.
            PlatformError: The platform failed.
        """
        return {
            drains.read_domain(target): drain
            for target, drain in (await self.list()).items()
            if drains.is_domain_target(target)
        }

    async def evacuate(
        self, domain: ids.DomainId, request: requests.ChangeRequest
    ) -> audit.AuditRecord | None:
        """Gives upstreams of a failure domain no new work; None if so already.

        Raises:
            PlatformError: See `ChangeWriter.run`.
        """
        return await self.drain(drains.make_domain_target(domain), request)

    async def restore(
        self, domain: ids.DomainId, request: requests.ChangeRequest
    ) -> audit.AuditRecord | None:
        """Takes a failure domain back; None if it is not evacuated.

        Raises:
            PlatformError: See `ChangeWriter.run`.
        """
        return await self.undrain(drains.make_domain_target(domain), request)

    async def _change(
        self,
        host: ids.HostId,
        drain: HostDrain | None,
        request: requests.ChangeRequest,
    ) -> audit.AuditRecord | None:
        action = _find_action(host, is_drain=drain is not None)
        key = keys.drain_key(self._prefix, host)

        async def make_plan() -> plans.Plan | None:
            pair = await self._platform.get(key)
            if (pair is None) is (drain is None):
                return None
            before = _read(pair).model_dump() if pair else None
            return plans.Plan(
                action=action,
                target=host,
                before=before,
                after=drain.model_dump() if drain else None,
                compares=(port.Compare(key, pair.mod_revision if pair else 0),),
                writes=(_make_write(key, drain),),
            )

        return await self._writer.run_checked(request, action, host, make_plan)


def _find_action(target: ids.HostId, *, is_drain: bool) -> audit.AuditAction:
    if drains.is_domain_target(target):
        if is_drain:
            return audit.AuditAction.EVACUATE_DOMAIN
        return audit.AuditAction.RESTORE_DOMAIN
    if is_drain:
        return audit.AuditAction.DRAIN_HOST
    return audit.AuditAction.UNDRAIN_HOST


def _make_write(key: str, drain: HostDrain | None) -> port.Write:
    value = drain.model_dump_json().encode() if drain else None
    return port.Write(key, value)


def _read(pair: port.KeyValue) -> HostDrain:
    try:
        return HostDrain.model_validate_json(pair.value)
    except pydantic.ValidationError as error:
        raise errors.ContractError(
            config.describe(error), step="read host drain", peer=pair.key
        ) from error
