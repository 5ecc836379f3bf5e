"""Tests of the reader of JSON and of fields."""

from __future__ import annotations

import json
import subprocess
import sys

import hypothesis
from hypothesis import strategies

from persimmonhinge import json_reader

documents = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


@hypothesis.given(documents)
def test_documents_are_read_as_the_library_reads_them(document: object) -> None:
    for indent in (None, 2):
        text = json.dumps(document, indent=indent).encode()
        assert json_reader.decode(text) == document


@hypothesis.given(strategies.binary())
def test_no_octets_are_read_otherwise_than_by_the_library(
    octets: bytes,
) -> None:
    try:
        expected = json.loads(octets.decode())
    except ValueError:
        expected = ValueError
    try:
        read = json_reader.decode(octets)
    except ValueError:
        read = ValueError
    # The library knows NaN, JSON does not.
    assert read == expected or read is ValueError


def test_bad_documents_are_refused_before_the_library_is_imported() -> None:
    """A host ends with an internal error at the first unreadable entry.

    It has just started; the scanner of the standard library finds an error,
    and looks for its exception in a module that nobody has imported.
    """
    code = (
        "from persimmonhinge import json_reader\n"
        "for bad in (b'', b'{', b'[1,]', b'NaN', b'1 2', b'\\xff',\n"
        "            b'[' * 100_000):\n"
        "    try:\n"
        "        json_reader.decode(bad)\n"
        "    except ValueError:\n"
        "        continue\n"
        "    raise SystemExit(f'{bad[:9]} was taken')\n"
    )
    subprocess.run([sys.executable, "-S", "-c", code], check=True)


def test_fields_have_their_types() -> None:
    document = {"n": 1, "t": "x", "b": True, "f": 1.5}
    read = json_reader.read_field
    assert read(document, "n", int) == 1
    assert read(document, "b", bool) is True
    assert read(document, "absent", int, 3) == 3
    assert json_reader.expect_number(1, "n") == 1.0
    for name, kind in (("t", int), ("b", int), ("f", int), ("absent", str)):
        try:
            read(document, name, kind)
        except ValueError as error:
            assert name in str(error)
            continue
        raise AssertionError(f"{name} was taken for {kind}")
