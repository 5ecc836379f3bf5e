"""What a contract has to fulfil beyond its own form."""

from __future__ import annotations

from collections.abc import Iterable

from persimmonhinge import errors
from persimmonhinge import registry
from persimmonhinge.contracts import contract as contracts
from persimmonhinge.contracts import version as versions
from persimmonhinge.policies import admission
from persimmonhinge.policies import builtin  # noqa: F401
from persimmonhinge.policies import choice
from persimmonhinge.policies import order

# Values of the platform hold up to a megabyte; an audit entry carries a
# contract twice.
MOST_OCTETS = 400_000


def find_faults(contract: contracts.Contract) -> list[str]:
    """Returns a line for each fault that shows without other contracts."""
    faults = _find_policy_faults(contract.policies)
    for upstream in contract.upstreams:
        if upstream.address == contract.address:
            faults.append(
                f"upstream {upstream.id} has the address of the service "
                f"itself, {contract.address}"
            )
    size = len(contract.model_dump_json())
    if size > MOST_OCTETS:
        faults.append(f"has {size} octets; {MOST_OCTETS} are allowed")
    return faults


def find_clashes(
    contract: contracts.Contract, live: Iterable[versions.ContractVersion]
) -> list[str]:
    """Returns a line for each clash with another live contract.

    Guards against a packet meant for one service reaching an upstream of
    another: hosts act on different revisions for a while, and the one that
    still holds the former contract would send the former service's work to
    an upstream that has a new owner. An address has to leave its contract
    before another one takes it.
    """
    clashes = []
    for other in live:
        if other.contract.service != contract.service:
            clashes += _find_clashes_with(contract, other)
    return clashes


def refuse_if(faults: list[str], service: str, step: str) -> None:
    """Raises an error if there are faults.

    Raises:
        ContractError: There are; its text holds all of them.
    """
    if faults:
        raise errors.ContractError("; ".join(faults), step=step, peer=service)


def _find_clashes_with(
    contract: contracts.Contract, other: versions.ContractVersion
) -> list[str]:
    name = other.contract.service
    clashes = []
    if other.contract.address == contract.address:
        clashes.append(
            f"address {contract.address} belongs to service {name} "
            f"({other.describe()})"
        )
    owned = {upstream.address for upstream in other.contract.upstreams}
    for upstream in contract.upstreams:
        if upstream.address in owned:
            clashes.append(
                f"upstream {upstream.id} has address {upstream.address}, which "
                f"belongs to service {name} ({other.describe()}): remove it "
                "there first"
            )
    return clashes


def _find_policy_faults(policies: contracts.Policies) -> list[str]:
    return [
        *_find_unknown("choice", policies.choice, choice.choice_policies),
        *_find_unknown("order", policies.order, order.order_policies),
        *_find_unknown(
            "admission", policies.admission, admission.admission_policies
        ),
    ]


def _find_unknown(key: str, name: str, known: registry.Registry) -> list[str]:
    if name in known.names():
        return []
    allowed = ", ".join(known.names())
    return [f"policies.{key}: no policy {name!r}; known: {allowed}"]
