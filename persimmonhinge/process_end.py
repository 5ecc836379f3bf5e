"""Ends the process, with a last log line that says why.

The line has the form of the structured log and is written without `logging`,
which may not be imported yet, or may be what failed.
"""

from __future__ import annotations

import _json

# The plain module: `signal` makes enumerations of all it names.
import _signal  # type: ignore[import-not-found]
import os
import select
import sys
import time

from persimmonhinge.light_typing import TYPE_CHECKING

if TYPE_CHECKING:
    import types
    from typing import NoReturn

EXIT_PLANNED = 0
EXIT_ERROR = 1
EXIT_BAD_SETTINGS = 2

_EVENT = "Process ended."
_STDOUT = 1
_STDERR = 2
# Longest wait for a reader of the log, seconds.
_WRITE_LIMIT_S = 0.2
_MS_PER_S = 1000
_MAX_REASON_CHARACTERS = 1000
# Innermost frames of a traceback that the line holds.
_MAX_FRAMES = 8
# Errors of an exception group that the line holds.
_MAX_ERRORS = 5
_OUT_OF_MEMORY_LINE = (
    b'{"level":"ERROR","part":"cmd","event":"Process ended.",'
    b'"reason":"MemoryError: no memory for this line","exit_code":1}\n'
)


class _Process:
    """What the last line tells about the process."""

    def __init__(self) -> None:
        self.host = ""
        self.started_at = time.monotonic()


_process = _Process()


def name_host(host: str) -> None:
    """Sets the name of the host in the last line."""
    _process.host = host


def end_at_signals() -> None:
    """Lets SIGTERM and SIGINT end the process at once, with a last line.

    To be called before the event loop handles these signals. Until then, and
    after a planned stop, nothing has to be waited for.
    """
    for number in (_signal.SIGTERM, _signal.SIGINT):
        _signal.signal(number, _end_at_signal)


def _end_at_signal(number: int, frame: types.FrameType | None) -> NoReturn:
    end_planned(f"planned stop by signal {number}, outside of the event loop")


def end_planned(reason: str) -> NoReturn:
    """Ends the process after a planned stop."""
    _write_last_line("INFO", reason, (), EXIT_PLANNED)
    os._exit(EXIT_PLANNED)


def end_with_bad_settings(error: Exception) -> NoReturn:
    """Ends the process, as its settings can't be used."""
    text = _describe_text(error)
    _write_to(_STDERR, f"error: {text}\n".encode("utf-8", "backslashreplace"))
    _write_last_line("ERROR", text, (), EXIT_BAD_SETTINGS)
    os._exit(EXIT_BAD_SETTINGS)


def end_with_error(error: BaseException) -> NoReturn:
    """Ends the process by an error that nothing handled."""
    exit_code = _get_exit_code(error)
    try:
        errors = _list_innermost(error)
        reason = "; ".join(_describe(e) for e in errors[:_MAX_ERRORS])
        if len(errors) > _MAX_ERRORS:
            reason += f"; and {len(errors) - _MAX_ERRORS} more"
        # An error of a group that was never raised itself has no frames.
        where = _list_frames(errors[0]) or _list_frames(error)
        # The frames of the traceback hold memory that the line may need.
        error.__traceback__ = None
        _write_early_lines()
        _write_last_line("ERROR", reason, where, exit_code)
    except MemoryError:
        _write_to(_STDOUT, _OUT_OF_MEMORY_LINE)
    os._exit(exit_code)


def _get_exit_code(error: BaseException) -> int:
    if not isinstance(error, SystemExit):
        return EXIT_ERROR
    if error.code is None:
        return EXIT_PLANNED
    return error.code if isinstance(error.code, int) else EXIT_ERROR


def _list_innermost(error: BaseException) -> list[BaseException]:
    """Returns the errors that an exception group holds at any depth."""
    found = []
    waiting = [error]
    while waiting:
        error = waiting.pop()
        if isinstance(error, BaseExceptionGroup):
            waiting.extend(reversed(error.exceptions))
        else:
            found.append(error)
    return found


def _describe(error: BaseException) -> str:
    return f"{type(error).__name__}: {_describe_text(error)}"


def _describe_text(error: BaseException) -> str:
    try:
        return str(error)[:_MAX_REASON_CHARACTERS]
    except Exception as failure:
        return f"(its text raises {type(failure).__name__})"


def _list_frames(error: BaseException) -> tuple[str, ...]:
    """Returns the innermost frames, the innermost last."""
    frames = []
    traceback = error.__traceback__
    while traceback is not None:
        code = traceback.tb_frame.f_code
        frames.append((code.co_filename, traceback.tb_lineno, code.co_name))
        traceback = traceback.tb_next
    if isinstance(error, SyntaxError) and error.filename:
        frames.append((error.filename, error.lineno or 0, "<source>"))
    return tuple(f"{f}:{n} {name}" for f, n, name in frames[-_MAX_FRAMES:])


def _write_early_lines() -> None:
    """Writes lines that wait for `logging`: they may tell the cause."""
    if "logging" in sys.modules:
        return
    try:
        from persimmonhinge import early_logs
        from persimmonhinge import structured_logs

        structured_logs.configure(_process.host, "INFO")
        early_logs.release()
    except Exception as error:
        # The import may be what failed; the last line follows.
        text = f"error: can't write early lines: {_describe(error)}\n"
        _write_to(_STDERR, text.encode("utf-8", "backslashreplace"))


def _flush_log() -> None:
    """Writes what is left of a line of the log that was taken in part."""
    logging = sys.modules.get("logging")
    if logging is None:
        return
    try:
        for handler in logging.getLogger("persimmonhinge").handlers:
            handler.flush()
    except Exception as error:
        text = f"error: can't flush the log: {_describe(error)}\n"
        _write_to(_STDERR, text.encode("utf-8", "backslashreplace"))


def _write_last_line(
    level: str, reason: str, where: tuple[str, ...], exit_code: int
) -> None:
    # A second signal must not add another line.
    for number in (_signal.SIGTERM, _signal.SIGINT):
        _signal.signal(number, _signal.SIG_IGN)
    _flush_log()
    peak_octets, descriptors = _read_usage()
    uptime_s = time.monotonic() - _process.started_at
    frames = ",".join(map(_quote, where))
    line = (
        f'{{"time":{time.time():.3f},"level":"{level}",'
        f'"host":{_quote(_process.host)},"part":"cmd","event":"{_EVENT}",'
        f'"reason":{_quote(reason)},"where":[{frames}],'
        f'"uptime_s":{uptime_s:.3f},"exit_code":{exit_code},'
        f'"peak_memory_bytes":{_write_number(peak_octets)},'
        f'"open_fds":{_write_number(descriptors)}}}\n'
    ).encode()
    if not _write_to(_STDOUT, line):
        _write_to(_STDERR, line)


def _read_usage() -> tuple[int | None, int | None]:
    """Returns the peak memory, octets, and the number of descriptors."""
    try:
        # Only here, as a start needs none of it; the metrics import it, too.
        from persimmonhinge import process_usage
    except Exception:
        # With no descriptor left, no module can be imported.
        return None, None
    return process_usage.read_peak_octets(), process_usage.count_descriptors()


def _quote(text: str) -> str:
    # `json` is not imported: with no descriptor left, an import fails.
    return _json.encode_basestring_ascii(text)


def _write_number(number: int | None) -> str:
    return "null" if number is None else str(number)


def _write_to(file: int, octets: bytes) -> bool:
    """Writes to a file that may not block; returns whether all was written."""
    try:
        is_blocking = os.get_blocking(file)
        os.set_blocking(file, False)
        try:
            return _write_within_limit(file, octets)
        finally:
            # Other processes may share the open file.
            os.set_blocking(file, is_blocking)
    except OSError:
        # Nowhere is left to say so.
        return False


def _write_within_limit(file: int, octets: bytes) -> bool:
    ends_at = time.monotonic() + _WRITE_LIMIT_S
    while octets:
        try:
            octets = octets[os.write(file, octets) :]
        except BlockingIOError:
            remaining_s = ends_at - time.monotonic()
            if remaining_s <= 0:
                return False
            poll = select.poll()
            poll.register(file, select.POLLOUT)
            poll.poll(remaining_s * _MS_PER_S)
    return True
