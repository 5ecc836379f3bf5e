"""Pulls a snapshot at startup, before the event loop runs."""

from __future__ import annotations

import msgspec

from persimmonhinge import errors
from persimmonhinge import random_sampling
from persimmonhinge.forwarding import address_text
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import pull_attempt
from persimmonhinge.store import blocking_transport


def pull_from_seeds(core: core_module.ForwardCore) -> None:
    """Pulls snapshots from the seed hosts until all entries are present.

    Without a snapshot, a host that starts while the store is unavailable would
    forward nothing until its event loop runs and a peer has reported, a second
    later; meanwhile the fabric sends it packets, since too few hosts of its
    domain are in rotation.

    A seed may be down or removed, so each request has the same time limit as
    the first call to the store.

    Args:
        core: The components of this host.
    """
    seeds = core.settings.seed_addresses()
    for host in random_sampling.sample(seeds, len(seeds)):
        address = flow.Endpoint(host, core.settings.snapshot_port)
        if host == core.settings.own_address:
            continue
        if not address_text.is_destination(address):
            # `PeerTable.add` logs it later.
            continue
        attempt = pull_attempt.PullAttempt(core, host)
        try:
            blocking_transport.run(_request_snapshot(core, attempt))
            snapshot = attempt.decode_snapshot()
        except (OSError, errors.MalformedMessageError) as error:
            attempt.record_failure(error)
            continue
        except Exception as error:
            attempt.record_unexpected_error(error)
            continue
        attempt.apply_snapshot(snapshot)
        if core.knowledge.is_complete():
            return


async def _request_snapshot(
    core: core_module.ForwardCore, attempt: pull_attempt.PullAttempt
) -> None:
    """Requests the entries that this host is missing from another host."""
    settings = core.settings
    transport = blocking_transport.BlockingTransport(
        attempt.host, settings.snapshot_port
    )
    request = messages.PullRequest(
        core.entries.revision, accepts_compression=True
    )

    async def request_and_receive() -> None:
        await transport.open()
        await transport.send_all(msgspec.msgpack.encode(request))
        while data := await transport.receive_some():
            attempt.add_octets(data)

    try:
        await transport.run_within(
            settings.first_call_limit_s, request_and_receive
        )
    finally:
        transport.close()
