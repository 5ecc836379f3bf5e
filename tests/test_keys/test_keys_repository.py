"""Tests of the ring as it is written to and read from the platform."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.contracts import audit
from persimmonhinge.contracts import audit_trail
from persimmonhinge.contracts import change_writer
from persimmonhinge.contracts import request as requests
from persimmonhinge.contracts import ring_changes
from persimmonhinge.keys import repository
from persimmonhinge.keys import ring as rings
from persimmonhinge.keys import rotation
from persimmonhinge.store import keys
from tests.support import trios
from tests.test_contracts import fake_platform

_PREFIX = "/test/"
_KEY = _PREFIX + keys.TICKET_KEYS
_MOST_ENTRIES = 100


def _make_changes(
    platform: fake_platform.FakePlatform,
) -> ring_changes.RingChanges:
    client = platform.client("ctl")
    trail = audit_trail.AuditTrail(client, _PREFIX, _MOST_ENTRIES)
    writer = change_writer.ChangeWriter(client, trail)
    return ring_changes.RingChanges(client, _PREFIX, writer)


async def _add_next(changes: ring_changes.RingChanges) -> audit.AuditRecord:
    def step(stored: repository.StoredRing) -> rings.KeyRing:
        return rotation.add_next(stored.ring)

    return await changes.change(
        audit.AuditAction.ADD_KEY, requests.ChangeRequest("someone"), step
    )


def _put_ring(platform: fake_platform.FakePlatform) -> int:
    return platform.put(_KEY, rotation.write_body(rotation.make_ring()))


@trios.clock_test
async def test_write_whose_answer_was_lost_is_found_again() -> None:
    """An operator is told that a rotation failed, though it took effect."""
    platform = fake_platform.FakePlatform()
    _put_ring(platform)
    changes = _make_changes(platform)
    platform.loses_answers = True
    record = await _add_next(changes)
    stored = await changes.read()
    assert record.revision == stored.revision == platform.revision
    assert len(stored.ring.keys) == 2


@trios.clock_test
async def test_of_two_operators_one_is_told_that_the_other_was_first() -> None:
    platform = fake_platform.FakePlatform()
    _put_ring(platform)
    await _add_next(_make_changes(platform))
    revision = platform.revision
    try:
        await _add_next(_make_changes(platform))
    except errors.KeyRingError as error:
        assert "next key already" in str(error)
    else:
        raise AssertionError("both wrote")
    assert platform.revision == revision


@trios.clock_test
async def test_platform_that_is_down_is_reported_and_unchanged() -> None:
    platform = fake_platform.FakePlatform()
    revision = _put_ring(platform)
    platform.down = True
    try:
        await _add_next(_make_changes(platform))
    except errors.PlatformUnavailableError:
        pass
    else:
        raise AssertionError("no error")
    assert platform.revision == revision


@trios.clock_test
async def test_ring_that_can_not_be_read_is_reported_without_content() -> None:
    platform = fake_platform.FakePlatform()
    platform.put(_KEY, b'{"keys": [{"secret": "s3cret"}]}')
    client = platform.client("ctl")
    try:
        await repository.KeyRepository(client, _PREFIX).read()
    except errors.KeyRingError as error:
        assert "s3cret" not in str(error)
    else:
        raise AssertionError("was read")
