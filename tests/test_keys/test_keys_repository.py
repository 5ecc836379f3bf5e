"""Tests of writing the ring to the platform."""

from __future__ import annotations

from persimmonhinge import errors
from persimmonhinge.keys import repository
from persimmonhinge.keys import rotation
from persimmonhinge.platform import keys
from tests.support import trios
from tests.test_contracts import fake_platform

_PREFIX = "/test/"
_KEY = _PREFIX + keys.TICKET_KEYS


@trios.clock_test
async def test_write_whose_answer_was_lost_is_found_again() -> None:
    """An operator is told that a rotation failed, though it took effect."""
    platform = fake_platform.FakePlatform()
    rings = repository.KeyRepository(platform.client("ctl"), _PREFIX)
    platform.put(_KEY, rotation.write_body(rotation.make_ring()))
    stored = await rings.read()
    ring = rotation.add_next(stored.ring)
    platform.loses_answers = True
    revision = await rings.write(ring, stored.revision)
    assert revision == platform.revision
    assert (await rings.read()).ring == ring


@trios.clock_test
async def test_of_two_operators_one_is_told_that_the_other_was_first() -> None:
    platform = fake_platform.FakePlatform()
    rings = repository.KeyRepository(platform.client("ctl"), _PREFIX)
    platform.put(_KEY, rotation.write_body(rotation.make_ring()))
    stored = await rings.read()
    await rings.write(rotation.add_next(stored.ring), stored.revision)
    try:
        await rings.write(rotation.add_next(stored.ring), stored.revision)
    except errors.ConflictError:
        return
    raise AssertionError("both wrote")


@trios.clock_test
async def test_platform_that_is_down_is_reported_as_unknown() -> None:
    platform = fake_platform.FakePlatform()
    rings = repository.KeyRepository(platform.client("ctl"), _PREFIX)
    stored = await rings.read()
    platform.down = True
    try:
        await rings.write(rotation.make_ring(), stored.revision)
    except errors.PlatformUnavailableError:
        return
    raise AssertionError("no error")
