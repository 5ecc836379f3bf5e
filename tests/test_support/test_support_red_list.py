"""Tests of the form of the list of known failures."""

from __future__ import annotations

import pathlib
import tempfile

from tests.support import red_list

_ROOT = pathlib.Path(__file__).parents[2]
_TEST = f"{__name__}.test_entry_has_all_parts"
_SEEN = "ended with 1, as it was late, in 3 of 5 runs"
_REST = "issue 2, python -m tests.support.suites red_list, seed 7"


def _refuses(*lines: str) -> bool:
    try:
        red_list.read("\n".join(lines), _ROOT)
    except ValueError:
        return True
    return False


def test_entry_has_all_parts() -> None:
    line = f"{_TEST}, {_SEEN}, {_REST}"
    (entry,) = red_list.read(f"\n{line}\n\n", _ROOT).values()
    command = "python -m tests.support.suites red_list"
    assert entry == (_TEST, _SEEN, 2, command, "seed 7", line)


def test_entry_that_lacks_a_part_is_refused() -> None:
    """Guards against entries that nobody can run or judge again."""
    command = "python -m tests.support.suites red_list"
    for rest in (
        f"{command}, seed 7",
        f"issue, {command}, seed 7",
        "issue 2, seed 7",
        f"issue 2, {command}",
        f"issue 2, {command}, often",
    ):
        assert _refuses(f"{_TEST}, {_SEEN}, {rest}"), rest
    assert _refuses(f"{_TEST}, red, {_REST}")
    assert _refuses(f"{_TEST}, {_REST}")


def test_entry_of_a_test_that_does_not_exist_is_refused() -> None:
    """Guards against entries that stay when their test is renamed."""
    assert _refuses(f"{__name__}.test_that_was_renamed, {_SEEN}, {_REST}")
    assert _refuses(f"tests.test_gone.test_a, {_SEEN}, {_REST}")
    assert _refuses(f"review/0, {_SEEN}, {_REST}")


def test_test_that_is_listed_twice_is_refused() -> None:
    line = f"{_TEST}, {_SEEN}, {_REST}"
    assert _refuses(line, line)


def test_case_of_a_review_is_named_by_its_folder() -> None:
    with tempfile.TemporaryDirectory() as folder:
        root = pathlib.Path(folder)
        (root / "review" / "4").mkdir(parents=True)
        (root / "review" / "4" / "claim.txt").write_text("rule: Fault")
        line = f"review/4, {_SEEN}, issue 2, review/4/run.sh, no seed"
        (entry,) = red_list.read(line, root).values()
    assert entry.is_review_case


def test_list_of_this_repository_is_of_the_form() -> None:
    text = (_ROOT / "KNOWN-RED.txt").read_text(encoding="utf-8")
    red_list.read(text, _ROOT)
