"""Tests of how processes of forwarding hosts start and end."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

from tests.standins import ports

_ROOT = pathlib.Path(__file__).parents[2]
_PROGRAM = _ROOT / "deploy" / "forward.py"
_START_LIMIT_S = 15.0
_END_LIMIT_S = 10.0
_POLL_S = 0.02
_JOBS = 3
_PACKAGES = os.pathsep.join(p for p in sys.path if "site-packages" in p)


class Host:
    """A process of a host whose store can't be reached.

    Attributes:
        folder: Folder of its settings and its log.
        settings: Its settings.
        options: Options of the interpreter.
        program: Path of the program.
        cwd: Its working directory.
        shell: Commands before it in the shell, and redirections after it.
        stdout: File of its log; None for one in the folder.
        environment: Its environment.
        process: Its process, once it is started.
    """

    def __init__(self, folder: pathlib.Path, number: int) -> None:
        address = f"127.0.0.{100 + number}"
        udp = ports.find_udp_port([address])
        self.folder = folder
        self.settings: dict[str, Any] = {
            "host": f"host-{number}",
            "domain": "north",
            "packets": f"{address}:{udp}",
            "pages": f"{address}:{ports.find_tcp_port(address)}",
            "metrics_port": ports.find_tcp_port(address),
            "peer_ports": [ports.find_udp_port([address]), 65_535],
            "store": {"address": f"{address}:1"},
            # Less than the time that a planned stop leaves before its limit.
            "stop_limit_s": 0.5,
        }
        self.options = "-S -OO"
        self.program = str(_PROGRAM)
        self.cwd = str(_ROOT)
        self.shell = ("", "")
        self.stdout: int | None = None
        self.environment = {
            "PYTHONPATH": _PACKAGES,
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERSIMMONHINGE_NODE_FILE": str(folder / "local.yaml"),
        }
        self.process: subprocess.Popen[bytes]

    def endpoint(self, name: str) -> tuple[str, int]:
        """Returns address and port of a setting."""
        address, _, port = self.settings["packets"].rpartition(":")
        value = self.settings[name]
        if isinstance(value, str):
            port = value.rpartition(":")[2]
        return address, int(port if isinstance(value, str) else value)

    def write_settings(self, text: str | None = None) -> None:
        """Writes its settings file."""
        path = self.folder / "local.yaml"
        path.write_text(text or json.dumps(self.settings))

    def start(self) -> None:
        """Starts its process."""
        before, after = self.shell
        line = (
            f"{before} exec {sys.executable} {self.options} {self.program}"
            f" {after}"
        )
        with contextlib.ExitStack() as stack:
            stdout: Any = self.stdout
            if stdout is None:
                stdout = stack.enter_context((self.folder / "log").open("wb"))
            errors = stack.enter_context((self.folder / "errors").open("wb"))
            self.process = subprocess.Popen(
                line,
                shell=True,
                cwd=self.cwd,
                env=self.environment,
                stdout=stdout,
                stderr=errors,
            )

    def wait_started(self) -> None:
        """Waits until its pages are served."""
        ends_at = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < ends_at:
            assert self.process.poll() is None, (
                self.process.returncode,
                self.read_errors(),
                self.read_log()[-1:],
            )
            with contextlib.suppress(OSError):
                socket.create_connection(self.endpoint("pages")).close()
                return
            time.sleep(_POLL_S)
        raise AssertionError("pages are not served")

    def wait_for_handlers(self) -> None:
        """Waits until SIGTERM has a handler.

        Before that it ends the process by its default action, also in the
        start of the interpreter.
        """
        path = pathlib.Path(f"/proc/{self.process.pid}/status")
        ends_at = time.monotonic() + _START_LIMIT_S
        while time.monotonic() < ends_at:
            _, _, text = path.read_text().partition("SigCgt:")
            if int(text.split()[0], 16) & 1 << (signal.SIGTERM - 1):
                return
        raise AssertionError("SIGTERM has no handler")

    def stop(self) -> int:
        """Begins a planned stop; returns the exit code."""
        self.process.send_signal(signal.SIGTERM)
        return self.wait_ended()

    def wait_ended(self) -> int:
        """Waits for its end; returns the exit code."""
        return self.process.wait(_END_LIMIT_S)

    def read_errors(self) -> str:
        """Returns what it wrote to standard error."""
        return (self.folder / "errors").read_text()

    def read_log(self) -> list[dict[str, Any]]:
        """Returns the lines of its log."""
        path = self.folder / "log"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]


@contextlib.contextmanager
def open_host(number: int) -> Iterator[Host]:
    with tempfile.TemporaryDirectory() as folder:
        host = Host(pathlib.Path(folder), number)
        host.write_settings()
        try:
            yield host
        finally:
            if hasattr(host, "process") and host.process.poll() is None:
                host.process.kill()
                host.process.wait()


def run_cases(
    check: Callable[[Host, Any], None], cases: Iterable[Any], first: int
) -> None:
    """Checks cases, some at a time, each with a host of its own."""

    def run(number: int, case: Any) -> None:
        with open_host(first + number) as host:
            try:
                check(host, case)
            except Exception as error:
                raise AssertionError(f"case {case!r}: {error!r}") from error

    with futures.ThreadPoolExecutor(_JOBS) as pool:
        for result in [
            pool.submit(run, number, case) for number, case in enumerate(cases)
        ]:
            result.result()


def check_start_and_stop(host: Host) -> None:
    host.start()
    host.wait_started()
    assert host.stop() == 0
    assert "Traceback" not in host.read_errors()
    if host.stdout is None and not host.shell[1]:
        check_last_line(host, 0, "planned stop")


def check_last_line(host: Host, exit_code: int, reason: str) -> None:
    last = host.read_log()[-1]
    assert last["event"] == "Process ended.", last
    assert last["exit_code"] == exit_code, last
    assert reason in last["reason"], last


def test_host_starts_however_the_interpreter_finds_it() -> None:
    """Guards against starts that depend on options, folder or variables."""

    def check(host: Host, case: tuple[str, str, str, dict[str, str]]) -> None:
        host.options, host.cwd, host.program, environment = case
        if host.program == "link":
            link = host.folder / "link.py"
            link.symlink_to(_PROGRAM)
            host.program = str(link)
        host.environment.update(environment)
        check_start_and_stop(host)

    root = str(_ROOT)
    run_cases(
        check,
        (
            ("-S -OO", root, "deploy/forward.py", {}),
            ("-S -OO", root + "/deploy", "forward.py", {}),
            ("-S -OO -P", "/", str(_PROGRAM), {}),
            ("-S -OO", root, "deploy/forward.py", {"PYTHONSAFEPATH": "1"}),
            ("-S -OO", "/", "link", {"LANG": "C", "LC_ALL": "xx_YY"}),
            ("-S", "/", str(_PROGRAM), {"TMPDIR": "/nowhere", "HOME": "/x"}),
        ),
        0,
    )


def test_packages_are_found_beside_the_program() -> None:
    """Guards against a host that needs a variable to find its packages."""
    with open_host(10) as host:
        copy = host.folder / "copy"
        (copy / "target").mkdir(parents=True)
        (copy / "deploy").mkdir()
        (copy / "deploy" / "forward.py").write_bytes(_PROGRAM.read_bytes())
        (copy / "persimmonhinge").symlink_to(_ROOT / "persimmonhinge")
        (copy / "target" / "deps").symlink_to(_PACKAGES.split(os.pathsep)[0])
        del host.environment["PYTHONPATH"]
        host.cwd, host.program = str(copy), "deploy/forward.py"
        check_start_and_stop(host)


def test_log_that_can_t_be_written_ends_no_host() -> None:
    """Guards against hosts that end, stall or fail by their standard output."""

    def check(host: Host, case: str) -> None:
        if not case.startswith("pipe"):
            host.shell = ("", case)
            check_start_and_stop(host)
            # The last line goes there if the log can't be written.
            told = '"event":"Process ended."' in host.read_errors()
            assert told == (case == ">/dev/full")
            return
        near, far = os.pipe()
        if case == "pipe without a reader":
            os.close(near)
        else:
            os.set_blocking(far, False)
            with contextlib.suppress(BlockingIOError):
                while os.write(far, b"x" * 4096):
                    pass
            os.set_blocking(far, True)
        host.stdout = far
        check_start_and_stop(host)

    run_cases(
        check,
        (
            ">&-",
            ">&- 2>&- <&-",
            ">/dev/full",
            ">/dev/full 2>&1",
            "pipe without a reader",
            "pipe that nobody reads",
        ),
        20,
    )


def test_file_size_limit_of_the_log_ends_no_host() -> None:
    with open_host(30) as host:
        # In blocks of 512 or 1,024 octets; the log needs more.
        host.shell = ("ulimit -f 1;", "")
        host.start()
        host.wait_started()
        assert host.stop() == 0


def test_few_descriptors_are_enough_for_a_start() -> None:
    def check(host: Host, limit: int) -> None:
        host.shell = (f"ulimit -n {limit};", "")
        check_start_and_stop(host)

    run_cases(check, (4100, 300, 64), 40)


def test_signals_end_a_host_only_by_a_planned_stop() -> None:
    """Guards against ends by signals that come early, late or repeatedly."""

    def check(host: Host, case: tuple[float, int, int]) -> None:
        delay_s, number, code = case
        host.settings["stop_limit_s"] = 3
        host.write_settings()
        host.start()
        host.wait_for_handlers()
        time.sleep(delay_s)
        if number in (signal.SIGHUP, signal.SIGPIPE, signal.SIGXFSZ):
            for _ in range(20):
                host.process.send_signal(number)
                time.sleep(_POLL_S)
            host.wait_started()
            assert host.process.poll() is None
            host.process.send_signal(signal.SIGTERM)
            host.process.send_signal(number)
        else:
            host.process.send_signal(number)
            time.sleep(0.1)
            host.process.send_signal(signal.SIGTERM)
        assert host.wait_ended() == code
        assert host.read_errors() == ""
        check_last_line(host, code, "planned stop")

    run_cases(
        check,
        [
            (delay_s, number, 0)
            for delay_s in (0.0, 0.05, 0.3, 1.0)
            for number in (
                signal.SIGTERM,
                signal.SIGINT,
                signal.SIGHUP,
                signal.SIGPIPE,
            )
        ],
        50,
    )


def take(host: Host, name: str) -> socket.socket:
    kind = socket.SOCK_DGRAM if name == "packets" else socket.SOCK_STREAM
    taken = socket.socket(socket.AF_INET, kind)
    taken.bind(host.endpoint(name))
    if kind == socket.SOCK_STREAM:
        taken.listen()
    return taken


def test_ports_that_are_taken() -> None:
    """Guards against ends without the port's name, and by ports for a moment.

    The port of the metrics page is one that a host can do without.
    """

    def check(host: Host, case: tuple[str, float | None, int | None]) -> None:
        name, freed_s, code = case
        with take(host, name) as taken:
            if freed_s is not None:
                threading.Timer(freed_s, taken.close).start()
            host.start()
            if code is not None:
                assert host.wait_ended() == code
                address = ":".join(map(str, host.endpoint(name)))
                check_last_line(host, code, f"{name} at {address}")
                return
            if name == "pages":
                time.sleep(freed_s or 0)
            host.wait_started()
            assert host.stop() == 0

    run_cases(
        check,
        (
            ("packets", None, 2),
            ("pages", None, 1),
            ("metrics_port", None, None),
            ("packets", 0.6, None),
            ("pages", 1.2, None),
        ),
        70,
    )


def test_settings_that_are_bad_at_the_start() -> None:
    """Guards against a start that fails as its settings are being written."""

    def check(host: Host, case: tuple[str, str | None]) -> None:
        text, reason = case
        host.write_settings(text)
        host.start()
        if reason is None:
            threading.Timer(0.1, host.write_settings).start()
            host.wait_started()
            assert host.stop() == 0
            return
        assert host.wait_ended() == 2
        check_last_line(host, 2, reason)
        assert len(host.read_errors().splitlines()) == 1

    run_cases(
        check,
        (
            (" ", None),
            ('{"host": "h', None),
            ('{"host": "h', "local.yaml"),
            ('{"host": "h\\ud800"}', "missing settings: domain"),
            ("[" * 10_000, "not YAML"),
        ),
        80,
    )


def test_error_anywhere_gives_a_last_line() -> None:
    """Guards against a log that ends without a reason.

    A module that can't be imported before `logging` is, and one after.
    """

    def check(host: Host, case: tuple[str, str, str]) -> None:
        module, source, reason = case
        (host.folder / f"{module}.py").write_text(source)
        # The program puts the packages of a build in front, unless named here.
        path = [str(host.folder), str(_ROOT / "target" / "deps"), _PACKAGES]
        host.environment["PYTHONPATH"] = os.pathsep.join(path)
        host.start()
        assert host.wait_ended() == 1
        check_last_line(host, 1, reason)
        where = host.read_log()[-1]["where"]
        assert any(f"{module}.py:" in frame for frame in where), where
        assert "Traceback" not in host.read_errors()

    group = 'raise ExceptionGroup("g", [ValueError("a"), TypeError("b")])'
    run_cases(
        check,
        (
            ("bisect", "raise MemoryError('m')", "MemoryError: m"),
            ("msgspec", "raise ImportError('i')", "ImportError: i"),
            ("trio", group, "ValueError: a; TypeError: b"),
            ("trio", "raise SystemExit(1)", "SystemExit: 1"),
            ("trio", "def (", "SyntaxError"),
        ),
        90,
    )
