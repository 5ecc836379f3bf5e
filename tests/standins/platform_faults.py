"""Faults that tests ask of the platform's stand-in."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct):
    """What goes wrong; a test posts those members that it wants.

    Attributes:
        down: Connections close without an answer; watches break.
        delay_s: Each call waits first, seconds.
        refuse_status: Each call is refused with this HTTP status; 0 for none.
        drop_answers: So many writes take effect but get no answer.
        down_after_write: The next write takes effect and gets no answer,
            and with it the service goes down.
        drop_writes: So many transactions are lost and get no answer.
        late_writes: So many transactions get no answer and run `late_s`
            later.
        late_s: How much later, seconds.
        body: Answers of reads and watches have this body, as Latin-1 text;
            empty for their own.
        silent_from: Watches with a number below this got silent for good;
            a test sets `silence_watches` instead.
    """

    down: bool = False
    delay_s: float = 0.0
    refuse_status: int = 0
    drop_answers: int = 0
    down_after_write: bool = False
    drop_writes: int = 0
    late_writes: int = 0
    late_s: float = 0.5
    body: str = ""
    silent_from: int = 0


class FaultsRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Members of `Faults` to change; those left out stay.

    Attributes:
        silence_watches: True makes all watches that are open now go silent
            for good, while new ones work.
    """

    down: bool | None = None
    delay_s: float | None = None
    refuse_status: int | None = None
    drop_answers: int | None = None
    down_after_write: bool | None = None
    drop_writes: int | None = None
    late_writes: int | None = None
    late_s: float | None = None
    body: str | None = None
    silence_watches: bool = False


def apply_request(
    faults: Faults, request: FaultsRequest, next_watch: int
) -> None:
    """Changes the faults as asked."""
    for name in request.__struct_fields__:
        value = getattr(request, name)
        if name == "silence_watches":
            if value:
                faults.silent_from = next_watch
        elif value is not None:
            setattr(faults, name, value)
