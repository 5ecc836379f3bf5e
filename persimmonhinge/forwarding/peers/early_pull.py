"""Pulls a snapshot at the start, before there is an event loop."""

from __future__ import annotations

import msgspec

from persimmonhinge import draws
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding.peers import codec
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pull_attempt
from persimmonhinge.store import blocking_transport


def pull_from_seeds(core: core_module.ForwardCore) -> None:
    """Takes in what one of the hosts of the settings knows.

    Guards against a host that is started while the store is away: it would
    forward nothing until its event loop is there and a peer has reported, a
    second later, while the fabric hands it packets since too few hosts of its
    domain are in rotation.

    Seeds may be down or gone, so each gets as long as the store had.

    Args:
        core: The parts of the host.
    """
    seeds = core.settings.seed_addresses()
    for host in draws.sample(seeds, len(seeds)):
        if host == core.settings.own_address:
            continue
        attempt = pull_attempt.PullAttempt(core, host)
        try:
            blocking_transport.run(_request_snapshot(core, attempt))
            snapshot = codec.SNAPSHOT_CODEC.decode(attempt.octets)
        except (OSError, msgspec.MsgspecError) as error:
            attempt.record_failure(error)
            continue
        attempt.apply_snapshot(snapshot)
        if core.knowledge.is_complete():
            return


async def _request_snapshot(
    core: core_module.ForwardCore, attempt: pull_attempt.PullAttempt
) -> None:
    """Asks a host for all that it knows."""
    settings = core.settings
    transport = blocking_transport.BlockingTransport(
        attempt.host, settings.snapshot_port
    )
    request = messages.PullRequest(
        core.entries.revision, accepts_compression=True
    )

    async def ask() -> None:
        await transport.open()
        await transport.send_all(msgspec.msgpack.encode(request))
        while data := await transport.receive_some():
            attempt.octets.extend(data)

    try:
        await transport.run_within(settings.first_call_limit_s, ask)
    finally:
        transport.close()
