"""Hosts that are started as the deploy file says."""

from __future__ import annotations

import json
import os
import pathlib
import sysconfig
import tomllib
from typing import Any

from tests.standins import deploy_template
from tests.standins import forwarding_deployment as deployments

_ROOT = pathlib.Path(__file__).parents[2]
_BUILT = _ROOT / "target" / "deps"
_ROLE = "forward"
# Bounds of the users' small deployments.
_BOUNDS = {
    "DrainMs": 3000,
    "ConfigApplyMs": 3000,
    "GraceS": 6,
    "FlowTtlS": 60,
}


class DeployedHost(deployments.ForwardHost):
    """A host with the command and the template of settings of its role.

    Its packages are those of the build or, without one, of this environment.
    """

    def __init__(self, name: str, packets: str, settings: pathlib.Path) -> None:
        super().__init__(name, packets, settings)
        text = (_ROOT / "deploy" / "system.toml").read_text()
        self._role: dict[str, Any] = tomllib.loads(text)["roles"][_ROLE]

    def make_command(self) -> list[str]:
        """See `ForwardHost`."""
        words: list[str] = self._role["run"].split()
        return words

    def make_environment(self) -> dict[str, str]:
        """See `ForwardHost`."""
        packages = _BUILT if _BUILT.is_dir() else sysconfig.get_path("purelib")
        return {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(packages),
            "PERSIMMONHINGE_NODE_FILE": str(self.settings),
        }

    def change_settings(self, **fields: Any) -> None:
        """Writes the settings anew, by the template of its role."""
        super().change_settings(**fields)
        template = (_ROOT / self._role["template"]).read_text()
        former = json.loads(self.settings.read_text())
        rendered = deploy_template.render(template, _make_fields(former))
        own = {"log_level": former.get("log_level", "INFO")}
        self.settings.write_text(json.dumps({**json.loads(rendered), **own}))


def _make_fields(settings: dict[str, Any]) -> dict[str, Any]:
    """Returns what the platform fills the template in from."""
    address = settings["packets"].rpartition(":")[0]
    return {
        "Node": settings["host"],
        "Zone": settings["domain"],
        "Zones": {settings["domain"]: "region"},
        "Listen": {
            "DatagramAddr": settings["packets"],
            "ReadyAddr": settings["pages"],
            "Control": f"{address}:1",
        },
        "InternalPorts": settings["peer_ports"],
        "Seeds": settings["seeds"][:3],
        "Bounds": _BOUNDS,
        "platform": {"Addr": settings["store"]["address"]},
    }
