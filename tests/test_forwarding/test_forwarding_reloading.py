"""Tests of settings files that change, or can't be used."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import logging
import pathlib
import shutil
import tempfile
import threading
from typing import Any

from persimmonhinge import errors
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding import refusals as refusals_module
from persimmonhinge.forwarding import reloading
from persimmonhinge.forwarding import settings_file
from persimmonhinge.metrics import counts as counts_module

_VALID: dict[str, Any] = {
    "host": "h-1",
    "domain": "north",
    "packets": "127.0.0.1:1",
    "pages": "127.0.0.1:2",
    "peer_ports": [3, 18],
    "store": {"address": "127.0.0.1:9"},
}


class Peers:
    """Records the hosts that are added.

    Attributes:
        added: Their addresses.
        error: What an addition raises.
    """

    def __init__(self) -> None:
        self.added: list[flow.Endpoint] = []
        self.error: Exception | None = None

    def add(self, address: flow.Endpoint, now: float) -> None:
        """Adds a host."""
        if self.error is not None:
            raise self.error
        self.added.append(address)


class Scene:
    """A settings file and its reloader.

    Attributes:
        path: Path of the file.
        peers: The hosts that were added.
        counts: Counters of the host.
        reloader: The reloader, once the file was read.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.path = folder / "host.yaml"
        self.peers = Peers()
        self.counts = counts_module.Counts()
        self.write()
        file = settings_file.SettingsFile(str(self.path))
        self.reloader = reloading.SettingsReloader(
            file,
            file.load(),
            self.peers,  # type: ignore[arg-type]
            refusals_module.Refusals(self.counts),
        )

    def write(self, **changes: Any) -> None:
        """Writes settings that can be used."""
        self.path.write_text(json.dumps({**_VALID, **changes}))

    def count(self, name: str) -> int:
        """Returns a counter of settings files."""
        return self.counts.get(name, source="settings")


@contextlib.contextmanager
def open_scene() -> Iterator[Scene]:
    level = logging.getLogger("persimmonhinge").level
    with tempfile.TemporaryDirectory() as folder:
        yield Scene(pathlib.Path(folder))
    logging.getLogger("persimmonhinge").setLevel(level)


def make_folder(path: pathlib.Path) -> None:
    path.unlink()
    path.mkdir()


def test_bad_file_leaves_the_former_settings_until_it_changes() -> None:
    """Guards against a host that ends, or stays behind, after a bad file."""
    damages: tuple[Callable[[pathlib.Path], object], ...] = (
        lambda path: path.write_bytes(b""),
        lambda path: path.write_bytes(json.dumps(_VALID).encode()[:-5]),
        lambda path: path.write_bytes(b"a: !!timestamp x"),
        lambda path: path.write_bytes(b"\xff\x00"),
        lambda path: path.write_text(json.dumps({**_VALID, "seeds": ["x:1"]})),
        pathlib.Path.unlink,
        make_folder,
    )
    for number, damage in enumerate(damages):
        with open_scene() as scene:
            damage(scene.path)
            assert scene.reloader.is_file_changed(), number
            scene.reloader.reload()
            assert scene.count("inputs_refused_total") == 1, number
            assert not scene.reloader.is_file_changed(), number
            if scene.path.is_dir():
                shutil.rmtree(scene.path)
            scene.write(seeds=["127.0.0.5:1"])
            assert scene.reloader.is_file_changed(), number
            scene.reloader.reload()
            assert scene.peers.added == [flow.Endpoint("127.0.0.5", 3)]
            assert scene.count("input_failures_total") == 0


def test_change_after_the_first_read_is_seen() -> None:
    """Guards against new settings that are missed if they come in a start."""
    with open_scene() as scene:
        assert not scene.reloader.is_file_changed()
        scene.write(log_level="DEBUG")
        assert scene.reloader.is_file_changed()


def test_reload_uses_the_ports_that_are_bound() -> None:
    """Guards against reports to a port that no host uses before a restart."""
    with open_scene() as scene:
        scene.write(peer_ports=[30, 40], seeds=["127.0.0.5:1"])
        for _ in range(2):
            with captured_records() as records:
                scene.reloader.reload()
            assert vars(records[-1])["needs_restart"] == ["peer_ports"]
        assert set(scene.peers.added) == {flow.Endpoint("127.0.0.5", 3)}


def test_error_while_settings_are_applied_does_not_end_the_host() -> None:
    with open_scene() as scene:
        scene.peers.error = RuntimeError("full")
        scene.write(seeds=["127.0.0.5:1"])
        scene.reloader.reload()
        assert scene.count("input_failures_total") == 1


def test_start_waits_for_a_file_that_is_being_written() -> None:
    """Guards against a start that fails as the file is not complete yet."""
    text = json.dumps(_VALID)
    for start in (None, "", text[:-1]):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "host.yaml"
            if start is not None:
                path.write_text(start)
            writer = threading.Timer(0.1, path.write_text, [text])
            writer.start()
            file = settings_file.SettingsFile(str(path))
            assert file.load_at_start().host == "h-1"
            writer.join()
            assert not file.is_changed()


def test_start_gives_up_on_a_file_that_stays_bad() -> None:
    for path in ("/nowhere/host.yaml", "", "/tmp", "a\0b"):
        try:
            settings_file.SettingsFile(path).load_at_start()
        except errors.RefusedSettingsError:
            continue
        raise AssertionError(f"{path!r} was accepted")


@contextlib.contextmanager
def captured_records() -> Iterator[list[logging.LogRecord]]:
    records: list[logging.LogRecord] = []
    handler = logging.Handler()
    handler.emit = records.append  # type: ignore[assignment, method-assign]
    logger = logging.getLogger(reloading.__name__)
    logger.addHandler(handler)
    logger.setLevel("INFO")
    try:
        yield records
    finally:
        logger.removeHandler(handler)
        logger.setLevel(logging.NOTSET)
