"""Pulls missing entries from hosts that are ahead of this one."""

from __future__ import annotations

import logging
import random
import time

import msgspec
import trio

from persimmonhinge import errors
from persimmonhinge.forwarding import auto_reset_event
from persimmonhinge.forwarding import core as core_module
from persimmonhinge.forwarding import flow
from persimmonhinge.forwarding.peers import message_limits
from persimmonhinge.forwarding.peers import messages
from persimmonhinge.forwarding.peers import peer_table
from persimmonhinge.forwarding.peers import pull_attempt

logger = logging.getLogger(__name__)

# Time without any octets from the other host after which a pull is aborted,
# seconds.
_RECEIVE_TIMEOUT_S = 1.0
# Maximum duration of a pull, seconds.
_MAX_PULL_S = 5.0
# Minimum time that this host is behind before it pulls from a host that is
# ahead, seconds: updates bring the same entries within some milliseconds.
_MIN_LAG_S = 0.25
_CHECK_INTERVAL_S = 0.05
# Time for which a host that refused a request is not asked again, seconds: by
# then the hosts that it sent the desired state to can send it, too.
_REFUSAL_BACKOFF_S = 0.2
# Time for which a host that did not answer is not asked again, seconds: long
# enough to ask other hosts that are ahead, and short against the drain limits.
_FAILURE_BACKOFF_S = 1.0


class SnapshotPuller:
    """Pulls snapshots from hosts that are ahead of this one.

    One task pulls the entries of upstreams and another one a long desired
    state, so that no change of an upstream waits for a long desired state.
    """

    def __init__(self, core: core_module.ForwardCore) -> None:
        """Initializes the puller; nothing is pulled before `run`."""
        self._core = core
        self._peers = core.peers
        self._port = core.settings.snapshot_port
        self._behind_since: float | None = None
        self._may_be_behind = auto_reset_event.AutoResetEvent()
        self._state_may_be_missing = auto_reset_event.AutoResetEvent()
        core.peers.add_listener(self._wake_tasks)
        core.entries.completeness.on_state_missing = (
            self._state_may_be_missing.set
        )
        self._excluded_until: dict[flow.Endpoint, float] = {}

    async def run(self) -> None:
        """Pulls missing entries until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull_upstreams)
            nursery.start_soon(self._pull_desired_states)

    def _wake_tasks(self) -> None:
        self._may_be_behind.set()
        self._state_may_be_missing.set()

    async def _pull_upstreams(self) -> None:
        """Pulls a short snapshot when another host has newer entries.

        Covers a store watch that has stopped delivering changes, and a store
        that refuses only this host: without the pull, upstreams that are
        leaving would keep getting flows. A host that is ahead announces its
        revision in its next report.
        """
        entries = self._core.entries
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            excluded = self._list_excluded()
            ahead = self._peers.find_ahead_in_upstreams(
                entries.completeness.upstreams_revision, excluded
            )
            now = trio.current_time()
            if ahead is None:
                self._behind_since = None
                if not excluded:
                    await self._may_be_behind.wait()
                continue
            if self._behind_since is None:
                self._behind_since = now
            if self._should_pull_upstreams(now):
                await self._pull_short_snapshot(ahead)
                self._behind_since = trio.current_time()

    def _should_pull_upstreams(self, now: float) -> bool:
        if not self._core.knowledge.is_complete():
            return True
        behind_since = self._behind_since
        return behind_since is not None and now - behind_since > _MIN_LAG_S

    async def _pull_desired_states(self) -> None:
        """Pulls a full snapshot while a long desired state is missing."""
        entries = self._core.entries
        while True:
            await trio.sleep(_CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            if not entries.completeness.is_state_missing():
                await self._state_may_be_missing.wait()
                continue
            ahead = self._peers.find_ahead(
                entries.revision, self._list_excluded()
            )
            if ahead is not None:
                await self._pull_full_snapshot(ahead)

    def _exclude(self, peer: peer_table.Peer, backoff_s: float) -> None:
        self._excluded_until[peer.address] = trio.current_time() + backoff_s

    def _list_excluded(self) -> set[flow.Endpoint]:
        """Returns the addresses of the hosts that must not be asked now.

        Without this, a host that reported the newest entries and then died
        would be the only one asked for the seconds until its report expires.
        """
        now = trio.current_time()
        self._excluded_until = {
            address: until
            for address, until in self._excluded_until.items()
            if until > now
        }
        return set(self._excluded_until)

    async def _pull_short_snapshot(self, peer: peer_table.Peer) -> None:
        since = self._core.entries.completeness.upstreams_revision
        request = messages.PullRequest(
            since, accepts_compression=True, omits_long_state=True
        )
        attempt = pull_attempt.PullAttempt(self._core, peer.address.host)
        snapshot = await self._request_snapshot(peer, request, attempt)
        if snapshot is None:
            return
        attempt.apply_short_snapshot(snapshot)
        self._add_peers(snapshot)
        if self._core.entries.completeness.upstreams_revision <= since:
            self._exclude_without_progress(peer)

    async def _pull_full_snapshot(self, peer: peer_table.Peer) -> None:
        since = self._core.entries.revision
        request = messages.PullRequest(
            since, accepts_compression=True, accepts_refusal=True
        )
        attempt = pull_attempt.PullAttempt(self._core, peer.address.host)
        snapshot = await self._request_snapshot(peer, request, attempt)
        if snapshot is None:
            return
        if snapshot.busy:
            attempt.record_refusal()
            self._exclude(peer, _REFUSAL_BACKOFF_S)
            return
        attempt.apply_snapshot(snapshot)
        self._add_peers(snapshot)
        if self._core.entries.revision <= since:
            self._exclude_without_progress(peer)

    async def _request_snapshot(
        self,
        peer: peer_table.Peer,
        request: messages.PullRequest,
        attempt: pull_attempt.PullAttempt,
    ) -> messages.Snapshot | None:
        """Returns the snapshot that a host sends, None if the request fails.

        A host that fails is not asked again for a while. The short limit in
        `_receive` is for the time without progress: a slow answer that makes
        progress is not aborted by it, since the next one would be as slow.
        """
        try:
            with trio.fail_after(_MAX_PULL_S):
                await self._receive(request, attempt)
            return attempt.decode_snapshot()
        except (
            OSError,
            trio.BrokenResourceError,
            trio.TooSlowError,
            errors.MalformedMessageError,
        ) as error:
            attempt.record_failure(error)
        except Exception as error:
            attempt.record_unexpected_error(error)
        self._exclude(peer, _FAILURE_BACKOFF_S)
        return None

    async def _receive(
        self,
        request: messages.PullRequest,
        attempt: pull_attempt.PullAttempt,
    ) -> None:
        with trio.fail_after(_RECEIVE_TIMEOUT_S) as idle_limit:
            stream = await trio.open_tcp_stream(attempt.host, self._port)
            async with stream:
                await stream.send_all(msgspec.msgpack.encode(request))
                async for data in stream:
                    attempt.add_octets(data)
                    idle_limit.deadline = (
                        trio.current_time() + _RECEIVE_TIMEOUT_S
                    )

    def _exclude_without_progress(self, peer: peer_table.Peer) -> None:
        """Asks other hosts before one whose snapshot had nothing newer.

        Guards against a host that reports a revision it doesn't have, and that
        would be the only one asked, as the newest.
        """
        logger.warning(
            "A peer reported entries that its snapshot did not have.",
            extra={"peer": str(peer.address)},
        )
        self._exclude(peer, _FAILURE_BACKOFF_S)

    def _add_peers(self, snapshot: messages.Snapshot) -> None:
        now = time.monotonic()
        for address in snapshot.peers[: message_limits.MAX_PEERS]:
            self._peers.add(address, now)
