"""The resources of an upstream stand-in."""

from __future__ import annotations

from collections.abc import Callable
import json
import time
from typing import Any

import aiocoap
import trio

from persimmonhinge.coap import codec
from tests.standins import upstream_board
from tests.standins import upstream_server
from tests.standins import upstream_state

_Request = upstream_server.Request
_Answer = codec.Message | None
_MOST_LARGE_OCTETS = 4_194_304


class Work:
    """Answers the requests of callers, and those of tests under /standin."""

    def __init__(
        self,
        state: upstream_state.UpstreamState,
        board: upstream_board.Board,
    ) -> None:
        self._state = state
        self._board = board

    async def answer(self, request: _Request) -> _Answer:
        """Answers a request; None swallows it."""
        if request.path.startswith("/standin/"):
            return self._answer_test(request)
        host = request.message.opt.uri_host
        if host is not None and host != self._state.settings.service:
            self._state.counts["misrouted"] += 1
            self._state.append("misrouted", path=request.path, uri_host=host)
            return codec.Message(code=aiocoap.NOT_FOUND)
        if self._state.faults.stall:
            return None
        return await self._answer_caller(request)

    async def _answer_caller(self, request: _Request) -> _Answer:
        method = request.message.code
        first = request.path.split("/")[1]
        if method == aiocoap.GET and first == "board":
            return self._board.answer(request)
        if method == aiocoap.GET and first == "health":
            return self._answer_health()
        if method == aiocoap.GET and first == "time":
            return _make_json({"time": time.time()})
        if method == aiocoap.GET and first == "large":
            return self._answer_large(request)
        if method == aiocoap.POST and first in ("lots", "manifests"):
            return await self._run(request)
        return codec.Message(code=aiocoap.NOT_FOUND)

    async def _run(self, request: _Request) -> _Answer:
        state = self._state
        refusal = self._refuse(request)
        if refusal is not None:
            return refusal
        state.running += 1
        state.counts["runs"] += 1
        state.counts["max_concurrency"] = max(
            state.counts["max_concurrency"], state.running
        )
        key = _read_key(request.message.payload)
        state.append(
            "run",
            key=key,
            path=request.path,
            uri_host=request.message.opt.uri_host,
        )
        run = state.counts["runs"]
        try:
            await trio.sleep(self._run_time_s())
        finally:
            state.running -= 1
        document = {
            "upstream": state.settings.id,
            "run": run,
            "key": key,
            "octets": len(request.message.payload),
        }
        return _make_json(document, aiocoap.CHANGED)

    def _refuse(self, request: _Request) -> _Answer:
        state = self._state
        if state.draining:
            return self._shed(60, b"draining")
        if state.faults.errors:
            return codec.Message(code=aiocoap.INTERNAL_SERVER_ERROR)
        if state.faults.shed:
            return self._shed(1, b"overloaded")
        if state.running >= state.settings.slots:
            state.counts["excess"] += 1
            state.append("excess", path=request.path)
            return self._shed(1, b"no slot is free")
        deadline_ms = codec.read_deadline_ms(request.message)
        if deadline_ms is None:
            return None
        if deadline_ms < self._run_time_s() * 1000:
            return self._shed(1, b"deadline is too short")
        return None

    def _shed(self, max_age_s: int, reason: bytes) -> codec.Message:
        self._state.counts["sheds"] += 1
        return upstream_board.make_refusal(max_age_s, reason)

    def _run_time_s(self) -> float:
        state = self._state
        return state.settings.run_time_ms * state.faults.slow / 1000

    def _answer_health(self) -> codec.Message:
        state = self._state
        if state.faults.lie:
            return _make_json({"healthy": True, "load": 0.0})
        load = state.running / state.settings.slots
        return _make_json({"healthy": not state.draining, "load": load})

    def _answer_large(self, request: _Request) -> codec.Message:
        text = request.path.rpartition("/")[2]
        if not text.isdigit() or int(text) > _MOST_LARGE_OCTETS:
            return codec.Message(code=aiocoap.BAD_REQUEST)
        octets = int(text)
        line = f"{self._state.settings.service} "
        body = (line * (octets // len(line) + 1))[:octets].encode()
        return codec.Message(code=aiocoap.CONTENT, payload=body)

    def _answer_test(self, request: _Request) -> codec.Message:
        answers: dict[str, Callable[[_Request], codec.Message]] = {
            "/standin/stats": lambda _: _make_json(self._state.describe()),
            "/standin/drain": lambda _: self._set_draining(True),
            "/standin/undrain": lambda _: self._set_draining(False),
            "/standin/fault": self._set_faults,
        }
        answer = answers.get(request.path)
        if answer is None:
            return codec.Message(code=aiocoap.NOT_FOUND)
        return answer(request)

    def _set_draining(self, draining: bool) -> codec.Message:
        self._state.draining = draining
        return codec.Message(code=aiocoap.CHANGED)

    def _set_faults(self, request: _Request) -> codec.Message:
        try:
            self._state.set_faults(json.loads(request.message.payload or b"{}"))
        except (ValueError, TypeError) as error:
            return codec.Message(
                code=aiocoap.BAD_REQUEST, payload=str(error).encode()
            )
        if self._state.faults.silent_feeds:
            self._board.silence()
        return codec.Message(code=aiocoap.CHANGED)


def _read_key(body: bytes) -> str | None:
    try:
        document = json.loads(body)
    except ValueError:
        return None
    if not isinstance(document, dict):
        return None
    key = document.get("key")
    return None if key is None else str(key)


def _make_json(
    document: dict[str, Any], code: aiocoap.Code = aiocoap.CONTENT
) -> codec.Message:
    return codec.Message(code=code, payload=json.dumps(document).encode())
