"""The contracts in the platform, as operators read and change them."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import checks
from persimmonhinge.contracts import conflict
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import outcome
from persimmonhinge.contracts import plan as plans
from persimmonhinge.contracts import request as requests
from persimmonhinge.contracts import stored as stored_contracts
from persimmonhinge.contracts import version as versions
from persimmonhinge.store import keys
from persimmonhinge.store import port

Live = dict[ids.ServiceName, versions.ContractVersion]
_STEP = "change contract"


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """What became of a change.

    Attributes:
        service: Name of the service.
        revision: Revision that is, or will be, in force.
        record: The record of the change; None if there was nothing to do.
    """

    service: ids.ServiceName
    revision: ids.Revision
    record: audit.AuditRecord | None

    @property
    def is_delete(self) -> bool:
        """True if the contract was deleted."""
        return self.record is not None and self.record.after is None


class ContractRepository:
    """Reads contracts, and changes them by compare-and-swap."""

    def __init__(
        self,
        platform: port.Platform,
        prefix: str,
        writer: change_writer.ChangeWriter,
    ) -> None:
        self._platform = platform
        self._prefix = prefix
        self._writer = writer

    async def get(self, service: ids.ServiceName) -> versions.ContractVersion:
        """Returns a contract.

        Raises:
            ContractError: There is none, or it can't be read.
        """
        pair = await self._platform.get(
            keys.contract_key(self._prefix, service)
        )
        if pair is None:
            raise _make_missing(service)
        return versions.read_version(pair)

    async def list(self) -> list[versions.ContractVersion]:
        """Returns all contracts in order of their names.

        Raises:
            ContractError: One of them can't be read.
        """
        return list((await self._read_live()).values())

    async def check(self, contract: contracts.Contract) -> None:
        """Checks a contract by itself and against the others.

        Raises:
            ContractError: It would be refused; the text says all causes.
        """
        live = await self._read_live()
        faults = checks.find_faults(contract)
        faults += checks.find_clashes(contract, live.values())
        checks.refuse_if(faults, contract.service, "check contract")

    async def apply(
        self,
        contract: contracts.Contract,
        request: requests.ChangeRequest,
        base: ids.Revision | None = None,
        *,
        replaces: bool = False,
    ) -> ChangeResult:
        """Creates or changes a contract.

        Args:
            contract: What is to be in force.
            request: Who asks.
            base: Revision that the change was made from, 0 for none. None
                allows only a new contract, unless `replaces` is set.
            replaces: True to change whatever stands there when the command
                begins.

        Raises:
            ConflictError: The contract is not at the base: the text says
                what changed and who did it.
            ContractError: It is refused.
            PlatformError: The platform failed; see `ChangeWriter.run`.
        """
        checks.refuse_if(
            checks.find_faults(contract), contract.service, "check contract"
        )
        service = ids.ServiceName(contract.service)
        action = audit.AuditAction.APPLY_CONTRACT
        expected = base
        if replaces and base is None:
            expected = (await self._read_one(service))[0]

        async def make_plan() -> plans.Plan | None:
            live = await self._read_live()
            before = live.get(service)
            if before is not None and before.contract == contract:
                return None
            await self._check_base(service, before, expected)
            clashes = checks.find_clashes(contract, live.values())
            checks.refuse_if(clashes, service, _STEP)
            return self._plan(action, before, contract, request)

        result = await self._change(service, action, request, make_plan)
        if result.record and result.record.after != versions.to_document(
            contract
        ):
            raise _make_reused(result.record)
        return result

    async def delete(
        self,
        service: ids.ServiceName,
        request: requests.ChangeRequest,
        base: ids.Revision | None = None,
    ) -> ChangeResult:
        """Deletes a contract; it can be created again.

        Args:
            service: Name of the service.
            request: Who asks.
            base: Revision that is to be deleted; None for any.

        Raises:
            ConflictError: The contract is not at the base.
            ContractError: There is none.
            PlatformError: See `apply`.
        """
        action = audit.AuditAction.DELETE_CONTRACT

        async def make_plan() -> plans.Plan:
            before = (await self._read_live()).get(service)
            if before is None:
                raise _make_missing(service)
            if base is not None:
                await self._check_base(service, before, base)
            return self._plan(action, before, None, request)

        return await self._change(service, action, request, make_plan)

    async def set_upstream_state(
        self,
        service: ids.ServiceName,
        upstream: ids.UpstreamId,
        state: contracts.UpstreamState,
        request: requests.ChangeRequest,
    ) -> ChangeResult:
        """Drains an upstream, or takes it back.

        Changes that others make to the contract meanwhile are kept: this
        one is made again on top of them.

        Raises:
            ContractError: There is no such contract or upstream.
            PlatformError: See `apply`.
        """
        action = audit.AuditAction.UNDRAIN_UPSTREAM
        if state is contracts.UpstreamState.DRAINING:
            action = audit.AuditAction.DRAIN_UPSTREAM

        async def make_plan() -> plans.Plan | None:
            before = (await self._read_live()).get(service)
            if before is None:
                raise _make_missing(service)
            after = _with_state(before.contract, upstream, state)
            if after == before.contract:
                return None
            return self._plan(action, before, after, request)

        return await self._change(service, action, request, make_plan)

    async def _change(
        self,
        service: ids.ServiceName,
        action: audit.AuditAction,
        request: requests.ChangeRequest,
        make_plan: Callable[[], Awaitable[plans.Plan | None]],
    ) -> ChangeResult:
        record = await self._writer.run_checked(
            request, action, service, make_plan
        )
        if record is None:
            revision, _ = await self._read_one(service)
            return ChangeResult(service, revision, None)
        return ChangeResult(service, ids.Revision(record.revision), record)

    async def _check_base(
        self,
        service: ids.ServiceName,
        before: versions.ContractVersion | None,
        base: ids.Revision | None,
    ) -> None:
        revision = before.revision if before else 0
        if revision != (base or 0):
            trail = self._writer.trail
            raise await conflict.explain(trail, service, before, base)

    def _plan(
        self,
        action: audit.AuditAction,
        before: versions.ContractVersion | None,
        after: contracts.Contract | None,
        request: requests.ChangeRequest,
    ) -> plans.Plan:
        contract = after or (before.contract if before else None)
        assert contract is not None
        service = ids.ServiceName(contract.service)
        key = keys.contract_key(self._prefix, service)
        value = None
        if after is not None:
            stored = stored_contracts.StoredContract(
                contract=after,
                request_id=request.request_id,
                operator=request.operator,
                written_at=request.at.isoformat(),
            )
            value = stored.model_dump_json().encode()
        return plans.Plan(
            action=action,
            target=service,
            before=versions.to_document(before.contract) if before else None,
            after=versions.to_document(after) if after else None,
            compares=(port.Compare(key, before.revision if before else 0),),
            writes=(port.Write(key, value),),
        )

    async def _read_live(self) -> Live:
        prefix = self._prefix + keys.CONTRACTS
        state = await self._platform.get_prefix(prefix)
        return {
            ids.ServiceName(pair.key.removeprefix(prefix)): (
                versions.read_version(pair)
            )
            for pair in state.values
        }

    async def _read_one(
        self, service: ids.ServiceName
    ) -> tuple[ids.Revision, versions.ContractVersion | None]:
        key = keys.contract_key(self._prefix, service)
        pair = await self._platform.get(key)
        if pair is None:
            return ids.Revision(0), None
        return ids.Revision(pair.mod_revision), versions.read_version(pair)


def _with_state(
    contract: contracts.Contract,
    upstream: ids.UpstreamId,
    state: contracts.UpstreamState,
) -> contracts.Contract:
    if contract.get_upstream(upstream) is None:
        known = ", ".join(target.id for target in contract.upstreams)
        raise errors.ContractError(
            f"no upstream {upstream!r}; known: {known}",
            step=_STEP,
            peer=contract.service,
        )
    upstreams = tuple(
        target.model_copy(update={"state": state})
        if target.id == upstream
        else target
        for target in contract.upstreams
    )
    return contract.model_copy(update={"upstreams": upstreams})


def _make_missing(service: ids.ServiceName) -> errors.ContractError:
    return errors.ContractError(
        "there is no such contract", step=_STEP, peer=service
    )


def _make_reused(record: audit.AuditRecord) -> outcome.RequestIdReusedError:
    return outcome.RequestIdReusedError(
        f"the request id belongs to {record.describe()}",
        step=_STEP,
        peer=record.target,
    )
