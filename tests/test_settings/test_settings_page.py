"""Tests that the page of settings says what the models say."""

from __future__ import annotations

import pathlib
import re

import pydantic

from persimmonhinge.contracts import contract
from persimmonhinge.settings import ctl
from persimmonhinge.settings import entry
from tests.test_settings import documented

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "configuration.md"
_MODELS: dict[str, type[pydantic.BaseModel]] = {
    "Entry hosts": entry.EntrySettings,
    "Command line": ctl.CtlSettings,
    "Contract": contract.Contract,
}
_ROW = re.compile(r"^\| `([^`]+)` \|([^|]*)\|([^|]*)\|([^|]*)\|(.+)\|$", re.M)


def _read_page() -> dict[str, list[documented.Row]]:
    sections = _PAGE.read_text(encoding="utf-8").split("\n## ")[1:]
    rows = {}
    for section in sections:
        title = section.split("\n", 1)[0]
        found = _ROW.findall(section)
        assert all(meaning.strip() for *_, meaning in found)
        rows[title] = [
            documented.Row(key, *(text.strip() for text in columns[:3]))
            for key, *columns in found
        ]
    return rows


def test_page_lists_all_settings_with_default_unit_and_limits() -> None:
    """An operator looks a setting up, and the page is wrong or silent.

    A setting was added or its default changed, but not the page.
    """
    page = _read_page()
    for title, model in _MODELS.items():
        expected = {row.key: row for row in documented.list_rows(model)}
        found = {row.key: row for row in page[title]}
        assert sorted(found) == sorted(expected), title
        for key, row in expected.items():
            assert found[key] == row
