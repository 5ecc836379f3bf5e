"""Client of the platform's metadata store."""

from __future__ import annotations

import base64
import json
from typing import Any

from persimmonhinge import json_reader
from persimmonhinge.platform import answers
from persimmonhinge.platform import store_reader
from persimmonhinge.store import port

_CONDITION_FAILED = 412
_OK = {store_reader.OK}
_OK_OR_GONE = {store_reader.OK, store_reader.NOT_FOUND}


class MetadataStore(store_reader.StoreReader):
    """Implements `port.Platform`; each method is one call at the platform."""

    async def write_if(
        self,
        compares: tuple[port.Compare, ...],
        writes: tuple[port.Write, ...],
    ) -> int | None:
        """See `port.Platform`."""
        body = _encode_transaction(compares, writes)
        accepted = {store_reader.OK, _CONDITION_FAILED}
        response = await self._call(
            "POST", "/kv-txn", body, accepted, repeatable=False
        )
        if response.status == _CONDITION_FAILED:
            return None
        return _read_number(response.body, "Revision", "/kv-txn")

    async def grant_lease(self, life_s: int) -> int:
        """See `port.Platform`."""
        body = json.dumps({"TtlMs": life_s * 1000}).encode()
        response = await self._call("POST", "/kv-lease", body, _OK)
        return _read_number(response.body, "Lease", "/kv-lease")

    async def keep_lease(self, lease: int) -> bool:
        """See `port.Platform`."""
        target = f"/kv-keep/{lease}"
        response = await self._call("POST", target, b"", _OK_OR_GONE)
        return response.status == store_reader.OK

    async def revoke_lease(self, lease: int) -> None:
        """See `port.Platform`; a lease that has lapsed is no error."""
        target = f"/kv-lease-end/{lease}"
        await self._call("DELETE", target, b"", _OK_OR_GONE)


def _encode_transaction(
    compares: tuple[port.Compare, ...], writes: tuple[port.Write, ...]
) -> bytes:
    document = {
        "Precondition": [
            {"Key": compare.key, "Revision": compare.mod_revision}
            for compare in compares
        ],
        "Writes": [
            {
                "Key": write.key,
                "Value": base64.b64encode(write.value).decode(),
                "Lease": write.lease,
            }
            for write in writes
            if write.value is not None
        ],
        "Deletes": [write.key for write in writes if write.value is None],
    }
    return json.dumps(document).encode()


def _read_number(body: bytes, name: str, target: str) -> int:
    def read(document: dict[str, Any]) -> int:
        return json_reader.read_integer(document, name, 1, answers.MAX_NUMBER)

    return store_reader.decode_answer(body, read, target)
