"""Tests of the audit trail."""

from __future__ import annotations

from persimmonhinge import ids
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import host_drains
from persimmonhinge.contracts import ring_changes
from persimmonhinge.keys import rotation
from tests.standins import platform_memory
from tests.standins import platform_operators
from tests.standins.platform_operators import FLOOR
from tests.standins.platform_operators import make_contract
from tests.standins.platform_operators import make_request
from tests.support import trios


@trios.clock_test
async def test_each_change_is_written_with_its_entry() -> None:
    async with platform_operators.run_operators() as operators:
        made = await operators.contracts.apply(
            make_contract(), make_request("anna", "one")
        )
        await operators.contracts.delete(FLOOR, make_request("ben", "two"))
        drains = host_drains.HostDrains(
            operators.platform, platform_operators.PREFIX, operators.writer
        )
        host = ids.HostId("entry-1")
        await drains.drain(host, make_request("cleo", "three"))
        again = await drains.drain(host, make_request("cleo"))
        listed = await drains.list()
        await drains.undrain(host, make_request("cleo"))
        records = [r async for r in operators.trail.read_backwards()]
    records.reverse()
    assert [r.action for r in records] == [
        audit.AuditAction.APPLY_CONTRACT,
        audit.AuditAction.DELETE_CONTRACT,
        audit.AuditAction.DRAIN_HOST,
        audit.AuditAction.UNDRAIN_HOST,
    ]
    assert records[0] == made.record
    assert records[0].before is None
    assert records[0].after == records[1].before
    assert records[1].operator == "ben"
    assert again is None
    assert list(listed) == [host]


@trios.clock_test
async def test_drain_with_lost_answer_is_written_once() -> None:
    async with platform_operators.run_operators() as operators:
        drains = host_drains.HostDrains(
            operators.platform, platform_operators.PREFIX, operators.writer
        )
        operators.platform.set_faults([platform_memory.CallFault.ANSWER_LOST])
        record = await drains.drain(ids.HostId("entry-1"), make_request())
        records = [r async for r in operators.trail.read_backwards()]
    assert records == [record]


@trios.clock_test
async def test_trail_is_bounded_and_keeps_the_newest() -> None:
    async with platform_operators.run_operators(most_entries=120) as operators:
        made = await operators.contracts.apply(make_contract(), make_request())
        for slots in range(1, 251):
            made = await operators.contracts.apply(
                make_contract(slots=slots), make_request(), made.revision
            )
        records = [r async for r in operators.trail.read_backwards()]
        entries = operators.platform.store.select(
            b"/test/audit/", b"/test/audit0"
        )
    newest = records[0].sequence
    assert records[0] == made.record
    assert [r.sequence for r in records] == list(
        range(newest, newest - 120, -1)
    )
    assert len(entries) == 120


@trios.clock_test
async def test_keys_are_audited_without_their_secrets() -> None:
    async with platform_operators.run_operators() as operators:
        changes = ring_changes.RingChanges(
            operators.platform, platform_operators.PREFIX, operators.writer
        )
        await changes.change(
            audit.AuditAction.MAKE_KEY,
            make_request(),
            lambda stored: rotation.make_ring(),
        )
        stored = await changes.read()
        (record,) = [r async for r in operators.trail.read_backwards()]
    secret = stored.ring.keys[0].secret.get_secret_value()
    assert secret not in record.model_dump_json()
    assert record.after == {"keys": [{"id": 0, "state": "current"}]}
