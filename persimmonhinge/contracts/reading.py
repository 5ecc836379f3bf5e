"""Reads records from the platform's keys."""

from __future__ import annotations

import msgspec

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.contracts import records as record_sets
from persimmonhinge.peers.messages import control
from persimmonhinge.store import keys
from persimmonhinge.store import port


class _StoredContract(msgspec.Struct):
    """The part of `stored.StoredContract` that hosts need.

    The contract stays as it was written: each host, whatever its version,
    then holds the same octets for the same revision.
    """

    contract: msgspec.Raw


_decoder = msgspec.json.Decoder(_StoredContract)


def read_event(
    prefix: str, event: port.WatchEvent
) -> record_sets.Record | None:
    """Returns the record of a change, None for a key that does not spread.

    Raises:
        ContractError: The value is not a stored contract.
        KeyRingError: The ticket keys were deleted.
    """
    name = event.key.removeprefix(prefix)
    revision = ids.Revision(event.mod_revision)
    if name.startswith(keys.CONTRACTS):
        service = ids.ServiceName(name.removeprefix(keys.CONTRACTS))
        body = read_contract(service, event.value)
        return control.ContractRecord(service, revision, body)
    if name.startswith(keys.HOST_DRAINS):
        host = ids.HostId(name.removeprefix(keys.HOST_DRAINS))
        return control.DrainRecord(host, revision, event.value is not None)
    if name == keys.TICKET_KEYS:
        if event.value is None:
            raise errors.KeyRingError("were deleted", step="read ticket keys")
        return control.KeyRecord(revision, event.value)
    return None


def read_contract(service: str, value: bytes | None) -> bytes:
    """Returns a contract as it was written; empty for a delete.

    Raises:
        ContractError: The value is not a stored contract.
    """
    if value is None:
        return b""
    try:
        return bytes(_decoder.decode(value).contract)
    except msgspec.MsgspecError as error:
        raise errors.ContractError(
            str(error), step="read stored contract", peer=service
        ) from error
