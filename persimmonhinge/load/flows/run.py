"""One run of packet flows."""

from __future__ import annotations

import random

import trio

from persimmonhinge.forwarding import flow as flows
from persimmonhinge.load import arrivals
from persimmonhinge.load.flows import book as books
from persimmonhinge.load.flows import caller_socket as sockets
from persimmonhinge.load.flows import fabric as fabrics
from persimmonhinge.load.flows import user as users
from persimmonhinge.settings import flow_load


class FlowRun:
    """Runs the users of all kinds.

    Attributes:
        settings: The load.
        book: What they saw.
        fabric: Chooses the host of each packet.
    """

    def __init__(self, settings: flow_load.FlowLoadSettings) -> None:
        """Makes a run.

        Raises:
            OSError: The callers' address can't be had.
        """
        self.book = books.FlowBook()
        self.settings = settings
        self._stop = trio.Event()
        self.fabric = fabrics.Fabric(
            [
                fabrics.Entrance(
                    flows.Endpoint(host.host, host.port),
                    f"http://{host.host}:{settings.ready_port}"
                    f"{settings.ready_path}",
                )
                for host in settings.hosts
            ]
        )
        self._socket = sockets.CallerSocket(
            settings.caller, settings.hosts[0].port
        )

    def stop(self) -> None:
        """Ends the run early: what is sent is waited for."""
        self._stop.set()

    async def run(self) -> None:
        """Lets users come, and returns when the last has gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._socket.run)
            nursery.start_soon(self.fabric.run)
            async with trio.open_nursery() as there:
                async with trio.open_nursery() as coming:
                    for kind in self.settings.kinds:
                        coming.start_soon(self._let_come, kind, there)
                self._stop.set()
            nursery.cancel_scope.cancel()

    async def _let_come(
        self, kind: flow_load.FlowKind, there: trio.Nursery
    ) -> None:
        """Lets the users of a kind come, all of them unless it is stopped.

        Guards against a load that is less than was asked for: where this
        process is late itself, one kind may be done before another has let
        its last users come.
        """
        settings = self.settings
        source = random.Random(f"{settings.seed}/{kind.kind}")
        begun_at = trio.current_time()
        times = arrivals.make_arrivals(kind.rate, settings.duration_s, source)
        for number, at_s in enumerate(times):
            with trio.move_on_at(begun_at + at_s):
                await self._stop.wait()
                return
            name = f"{kind.kind}/{number}"
            user = users.FlowUser(
                name,
                kind,
                self._socket,
                self.fabric,
                self.book,
                random.Random(f"{settings.seed}/{name}"),
            )
            there.start_soon(user.run, self._stop)
        with trio.move_on_at(begun_at + settings.duration_s):
            await self._stop.wait()
