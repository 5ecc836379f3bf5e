"""Tests of records."""

from __future__ import annotations

from persimmonhinge import records


class Point(records.Record, frozen=True):
    """A frozen record with a default."""

    x: int
    y: int = 7


class Size(records.Record):
    """A record that may change."""

    width: int = 1


def test_fields_are_taken_by_place_and_by_name() -> None:
    assert Point(1) == Point(x=1, y=7)
    assert Point(1, 2) != Point(1, 3)
    assert vars(Point(1, 2)) == {"x": 1, "y": 2}
    assert repr(Point(1)) == "Point(x=1, y=7)"


def test_wrong_fields_are_refused_by_the_first_and_by_later_ones() -> None:
    class Fresh(records.Record):
        """A class that has no record yet."""

        x: int

    for _ in range(2):
        try:
            Fresh(y=1)  # type: ignore[call-arg]
        except TypeError:
            continue
        raise AssertionError("a field that is not there was taken")


def test_records_of_two_types_differ() -> None:
    assert Point(1) != Size(1)


def test_frozen_records_are_members_of_sets() -> None:
    assert len({Point(1), Point(1), Point(2)}) == 2
    try:
        hash(Size())
    except TypeError:
        return
    raise AssertionError("a record that may change has a hash")


def test_replace_changes_a_copy() -> None:
    point = Point(1, 2)
    assert records.replace(point, x=5) == Point(5, 2)
    assert point == Point(1, 2)
