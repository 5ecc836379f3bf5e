"""Records for tests of the stores."""

from __future__ import annotations

import json

from persimmonhinge import ids
from persimmonhinge.peers.messages import control
from tests.test_contracts import fleet


def make_record(
    service: str, revision: int, *, port: int = 7000
) -> control.ContractRecord:
    """Returns a record of a contract; `port` tells bodies apart."""
    body = json.dumps(fleet.make_body(service, port=port)).encode()
    return control.ContractRecord(
        ids.ServiceName(service), ids.Revision(revision), body
    )


def make_tombstone(service: str, revision: int) -> control.ContractRecord:
    """Returns the record of a deleted contract."""
    return control.ContractRecord(
        ids.ServiceName(service), ids.Revision(revision), b""
    )
