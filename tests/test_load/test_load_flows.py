"""Tests of the load program with packet flows."""

from __future__ import annotations

import json
import pathlib
import tempfile

from typer import testing

from persimmonhinge.cmd import load
from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import records
from persimmonhinge.load.flows import report as reports
from persimmonhinge.settings import flow_load

_KIND = {"kind": "feed", "service": "floor", "address": "198.18.0.1:443"}


def make_document(**fields: object) -> dict[str, object]:
    return {
        "caller": "127.0.0.7",
        "hosts": ["127.0.0.11:7000"],
        "ready_port": 7001,
        "kinds": [{**_KIND, "rate": 1}],
        **fields,
    }


def run_program(document: object, *words: str) -> tuple[int, str]:
    """Returns the exit code and the output of the program."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "flows.yaml"
        path.write_text(json.dumps(document))
        result = testing.CliRunner().invoke(
            load.program, ["--flows", "--config", str(path), *words]
        )
    return result.exit_code, result.output


def test_good_settings_are_checked_without_a_run() -> None:
    code, text = run_program(make_document(), "--check")
    assert code == 0
    assert "settings are good" in text


def test_bad_settings_get_a_clear_error() -> None:
    bad: tuple[dict[str, object], ...] = (
        {"hosts": []},
        {"hosts": ["127.0.0.11:7000", "127.0.0.12:7001"]},
        {"kinds": [{**_KIND, "rate": 0}]},
        {"unknown": 1},
        # An address of documentation, which no machine has.
        {"caller": "192.0.2.1"},
        {"caller": "nobody"},
    )
    for fields in bad:
        code, text = run_program(make_document(**fields))
        assert code == load.EXIT_BAD_SETTINGS, fields
        assert "error:" in text


def test_report_tells_in_time_from_late_and_lost() -> None:
    settings = flow_load.FlowLoadSettings.model_validate(
        make_document(upstreams={"floor": ["a", "b"]})
    )
    book = books.FlowBook()
    answered, lost = records.Outcome.ANSWERED, records.Outcome.UNOPENED
    for ended_at, outcome, upstream in (
        (0.1, answered, "a"),
        (0.2, answered, "a"),
        (1.0, answered, "b"),
        (2.0, lost, ""),
    ):
        record = records.RequestRecord(
            "feed", "k", 0.0, ended_at, outcome, upstream, tries=1
        )
        book.requests.append(record)
    report = reports.make_report(book, settings)
    (kind,) = report.kinds
    assert (kind.in_time, kind.late, kind.lost) == (2, 1, {"unopened": 1})
    assert report.imbalance == {"floor": 1.333}
    assert report.clean


def test_reset_of_an_open_flow_is_a_broken_promise() -> None:
    settings = flow_load.FlowLoadSettings.model_validate(make_document())
    book = books.FlowBook()
    flow = flows.FlowId(0x7F000007, 20_000, 0xC6120001, 443)
    for opened in (False, True):
        book.resets.append(records.HostReset(flow, opened, 0.0))
    report = reports.make_report(book, settings)
    assert len(report.broken_flows) == 1
    assert not report.clean
