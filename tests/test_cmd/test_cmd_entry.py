"""Tests of the program `persimmonhinge-entry`."""

from __future__ import annotations

import pathlib
import signal
import subprocess
import sys
import tempfile

import trio

from tests.standins import child
from tests.standins import plan
from tests.standins import processes
from tests.support import trios

_GOOD = """
host: entry-1
domain: north
peers: {port: 7401, heartbeat_port: 7402}
platform: {endpoints: ["http://127.0.0.1:2379"]}
"""
_LIMIT_S = 40.0
SERVICE = plan.ServicePlan(
    "trading", plan.make_upstreams("trading", (1, 0, 0), 2), (plan.LOT_CLASS,)
)


def _check(text: str) -> subprocess.CompletedProcess[str]:
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entry.yaml"
        path.write_text(text, encoding="utf-8")
        return subprocess.run(
            [
                *(sys.executable, "-m", "persimmonhinge.cmd.entry"),
                *("--config", str(path), "--check"),
            ],
            capture_output=True,
            check=False,
            cwd=child.ROOT,
            text=True,
        )


def test_check_accepts_good_settings() -> None:
    done = _check(_GOOD)
    assert done.returncode == 0
    assert "settings are good" in done.stdout


def test_check_names_file_key_value_and_what_is_allowed() -> None:
    """An operator mistypes a port and has to find it among many settings."""
    done = _check(_GOOD.replace("7401", "70000"))
    assert done.returncode == 2
    for part in ("entry.yaml", "peers.port", "70000", "65535"):
        assert part in done.stderr
    assert "Traceback" not in done.stderr


@trios.trio_test
async def test_bad_settings_at_sighup_end_no_host() -> None:
    """A host ends, with all its flows, when an operator mistypes a setting.

    The settings file of a running host is changed, SIGHUP follows, and the
    file can't be read. Cause: the error would reach the top of the program.
    """
    one = plan.DeploymentPlan(plan.make_hosts(1), (SERVICE,))
    with trio.fail_after(_LIMIT_S):
        async with processes.run_deployment(one) as deployment:
            host = deployment.hosts["entry-1"]
            path = deployment.folder / "entry-1.yaml"
            good = path.read_text(encoding="utf-8")
            path.write_text("peers: [", encoding="utf-8")
            host.send(signal.SIGHUP)
            await host.find_text("Kept the former settings")
            path.write_text(good, encoding="utf-8")
            host.send(signal.SIGHUP)
            await host.find_text("Read the settings again")
            assert host.exit_code is None
