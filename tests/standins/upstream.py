"""A stand-in for an upstream: a CoAP server with slots, feeds and faults.

Run it as `python -m tests.standins.upstream --service floor-trading --id u1
--address 127.0.0.1 --port 0 --slots 2 --connections 2000 --log runs.jsonl`.
"""

from __future__ import annotations

import pathlib
import signal
from typing import Annotated

import trio
import typer

from tests.standins import starvation
from tests.standins import upstream_board
from tests.standins import upstream_server
from tests.standins import upstream_settings
from tests.standins import upstream_state
from tests.standins import upstream_work


async def run(
    settings: upstream_settings.UpstreamSettings,
    task_status: trio.TaskStatus[
        upstream_server.Source
    ] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Runs an upstream stand-in until it is cancelled."""
    state = upstream_state.UpstreamState(settings)
    board = upstream_board.Board(state)
    work = upstream_work.Work(state, board)
    server = upstream_server.CoapServer(work.answer, settings.seed)
    server.on_reset = board.reset
    board.server = server
    address = await server.bind(settings.address, settings.port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.run)
        nursery.start_soon(board.run)
        nursery.start_soon(_drain_on_signal, state)
        task_status.started(address)


async def _drain_on_signal(state: upstream_state.UpstreamState) -> None:
    try:
        receiver = trio.open_signal_receiver(signal.SIGUSR1)
        with receiver as signals:
            async for _ in signals:
                state.draining = True
    except RuntimeError:
        # Not in the main thread, as in a test: no signals there.
        return


async def _run_process(settings: upstream_settings.UpstreamSettings) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(starvation.report_gaps)
        address = await nursery.start(run, settings)
        print(f"listening on {address[0]}:{address[1]}", flush=True)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for _ in signals:
                break
        nursery.cancel_scope.cancel()


def main(
    service: Annotated[str, typer.Option()],
    id: Annotated[str, typer.Option()],  # noqa: A002
    log: Annotated[pathlib.Path, typer.Option()],
    address: Annotated[str, typer.Option()] = "127.0.0.1",
    port: Annotated[int, typer.Option()] = 0,
    slots: Annotated[int, typer.Option()] = 2,
    connections: Annotated[int, typer.Option()] = 2000,
    run_time_ms: Annotated[float, typer.Option()] = 40.0,
    feed_interval_ms: Annotated[int, typer.Option()] = 200,
    seed: Annotated[int, typer.Option()] = 1,
) -> None:
    """Runs an upstream stand-in until it gets SIGTERM."""
    settings = upstream_settings.UpstreamSettings(
        service=service,
        id=id,
        address=address,
        port=port,
        slots=slots,
        connections=connections,
        log=log,
        run_time_ms=run_time_ms,
        feed_interval_ms=feed_interval_ms,
        seed=seed,
    )
    trio.run(_run_process, settings)


if __name__ == "__main__":
    typer.run(main)
