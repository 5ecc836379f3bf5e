"""Tests of commands whose store answers what can't be read."""

from __future__ import annotations

import pathlib
import socket
import threading

from typer import testing
import yaml

from persimmonhinge.ctl import exits
from persimmonhinge.ctl import program
from tests.support import kept_folders
from tests.test_platform import scripted_store

_ITEM = {"Key": "persimmonhinge/contracts/a", "Value": "", "Revision": 1}
_BODIES = (
    b"",
    b"[]",
    b"[" * 100_000,
    scripted_store.make_page(5),
    scripted_store.make_page({**_ITEM, "Revision": 1 << 70}),
    scripted_store.make_page({**_ITEM, "Value": "a"}),
    scripted_store.make_page(_ITEM, HasMore=True),
    scripted_store.make_page({**_ITEM, "Key": "\ud800"}, HasMore=True),
)
_COMMANDS = (("contract", "list"), ("host", "list"))


def _serve(listener: socket.socket) -> None:
    """Gives each body in turn to as many connections as there are commands."""
    for body in _BODIES:
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        for _ in _COMMANDS:
            connection, _ = listener.accept()
            with connection:
                while connection.recv(65_536):
                    connection.sendall(answer + body)


def _run(folder: pathlib.Path, *words: str) -> testing.Result:
    settings = ("--config", str(folder / "ctl.yaml"))
    return testing.CliRunner().invoke(program.program, [*settings, *words])


def test_answer_that_cannot_be_read_is_one_clear_error() -> None:
    """Guards against a command that ends with a traceback, or never."""
    with (
        kept_folders.FOLDERS.open_folder() as folder,
        socket.create_server(("127.0.0.1", 0)) as listener,
    ):
        address, number = listener.getsockname()
        platform = {"endpoints": [f"http://{address}:{number}"]}
        settings = folder / "ctl.yaml"
        settings.write_text(yaml.safe_dump({"platform": platform}))
        server = threading.Thread(target=_serve, args=(listener,), daemon=True)
        server.start()
        for body in _BODIES:
            for words in _COMMANDS:
                done = _run(folder, *words)
                assert done.exit_code == exits.ExitCode.UNAVAILABLE, body[:80]
                (line,) = done.stderr.strip().splitlines()
                assert line.startswith("error: read ")
        server.join()
