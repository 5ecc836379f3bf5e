"""The list of tests that fail for known faults, and the form of its entries."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

_FORM = "test, what was seen, issue NUMBER, command, seed"
_ENTRY = re.compile(
    r"(?P<test>[^,\s]+), (?P<seen>.+), issue (?P<issue>[0-9]+)"
    r", (?P<command>[^,]+), (?P<seed>[^,]*\bseeds?\b[^,]*)"
)
# Cases of an independent review are scripts or days in numbered folders, which
# are not run by CI.
_REVIEW_FOLDER = "review/"
_REVIEW_CLAIM = "claim.txt"
_FEWEST_SEEN_CHARACTERS = 20


class Entry(NamedTuple):
    """An entry of the list.

    Attributes:
        test: Dotted name of a test, or path of a case of a review.
        seen: What was seen.
        issue: Number of the open issue.
        command: How to run it.
        seed: Its seeds, or a word that it has none.
        line: The whole line.
    """

    test: str
    seen: str
    issue: int
    command: str
    seed: str
    line: str

    @property
    def is_review_case(self) -> bool:
        """Whether CI does not run it."""
        return self.test.startswith(_REVIEW_FOLDER)


def read(text: str, root: pathlib.Path) -> dict[str, Entry]:
    """Returns the entries by test, one for each line that isn't empty.

    Args:
        text: Content of the list.
        root: Folder of the repository, in which the tests are looked up.

    Raises:
        ValueError: An entry is not of the form, is listed twice, or names
            a test that does not exist.
    """
    entries: dict[str, Entry] = {}
    for line in filter(str.strip, text.splitlines()):
        entry = _read_entry(line.strip())
        if entry.test in entries:
            raise ValueError(f"{entry.test} is listed twice")
        if not _exists(entry, root):
            raise ValueError(f"{entry.test} is listed and does not exist")
        entries[entry.test] = entry
    return entries


def _read_entry(line: str) -> Entry:
    match = _ENTRY.fullmatch(line)
    if match is None or len(match["seen"]) < _FEWEST_SEEN_CHARACTERS:
        raise ValueError(f"not of the form '{_FORM}': {line[:100]}")
    return Entry(
        match["test"],
        match["seen"],
        int(match["issue"]),
        match["command"],
        match["seed"],
        line,
    )


def _exists(entry: Entry, root: pathlib.Path) -> bool:
    if entry.is_review_case:
        path = root / entry.test
        return path.is_file() or (path / _REVIEW_CLAIM).is_file()
    module, _, function = entry.test.rpartition(".")
    file = root / f"{module.replace('.', '/')}.py"
    definition = re.compile(rf"^(async )?def {re.escape(function)}\(", re.M)
    return file.is_file() and bool(definition.search(file.read_text()))
