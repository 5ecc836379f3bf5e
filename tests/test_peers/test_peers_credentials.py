"""Tests of the credential that hosts show each other."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import pathlib
import tempfile

import trio
import trustme

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.peers import network
from persimmonhinge.peers.messages import feeds
from persimmonhinge.peers.messages import work
from tests.support import trios
from tests.test_peers import pairs

_LIMIT_S = 10.0


class _Authority:
    """Issues certificates into a folder.

    Attributes:
        pem: File of its own certificate.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._issued = 0
        self._authority = trustme.CA()
        self.pem = str(folder / f"authority-{id(self)}.pem")
        self._authority.cert_pem.write_to_path(self.pem)

    def make_host(self, host: ids.HostId, name: str = "") -> pairs.Host:
        """Returns a host with a certificate for a name, its own if empty."""
        issued = self._authority.issue_cert(name or host)
        self._issued += 1
        base = self._folder / f"{host}-{id(self)}-{self._issued}"
        certificate = base.with_suffix(".pem")
        key = base.with_suffix(".key")
        for blob in issued.cert_chain_pems:
            blob.write_to_path(str(certificate), append=True)
        issued.private_key_pem.write_to_path(str(key))
        tls = {
            "certificate": str(certificate),
            "key": str(key),
            "authority": self.pem,
        }
        return pairs.make_host(host, tls=tls, connect_timeout_s=_LIMIT_S)


@contextlib.contextmanager
def _open_authorities() -> Iterator[tuple[_Authority, _Authority]]:
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        yield _Authority(folder), _Authority(folder)


async def _answer(
    caller: network.Caller, message: work.LoadQuery
) -> work.LoadReport:
    return work.LoadReport(())


async def _fail_call(host: pairs.Host) -> BaseException | None:
    try:
        await host.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
    except errors.PeerUnreachableError as error:
        return error.__cause__
    raise AssertionError("the call was answered")


async def _check_refused(dialing: pairs.Host, accepting: pairs.Host) -> None:
    accepting.network.handle(work.LoadQuery, _answer)
    async with pairs.open_pair(dialing, accepting):
        cause = await _fail_call(dialing)
        assert isinstance(cause, errors.PeerCredentialError), repr(cause)
        kind = "PeerCredentialError"
        counts = dialing.counts
        assert counts.get("peer_dials_failed_total", cause=kind) == 1


@trios.trio_test
async def test_hosts_with_the_credential_talk_both_ways() -> None:
    with _open_authorities() as (authority, _):
        hosts = [authority.make_host(name) for name in (pairs.A, pairs.B)]
        async with pairs.open_pair(*hosts) as (a, b):
            for host in (a, b):
                host.network.handle(work.LoadQuery, _answer)
            await a.network.call(pairs.B, work.LoadQuery(), _LIMIT_S)
            await b.network.call(pairs.A, work.LoadQuery(), _LIMIT_S)
            a.network.reload_credential()


@trios.trio_test
async def test_large_message_passes_under_tls() -> None:
    with _open_authorities() as (authority, _):
        hosts = [authority.make_host(name) for name in (pairs.A, pairs.B)]
        async with pairs.open_pair(*hosts) as (a, b):

            async def serve(
                caller: network.Caller, message: feeds.FeedEvent
            ) -> feeds.FeedEvent:
                return message

            b.network.handle(feeds.FeedEvent, serve)
            event = feeds.FeedEvent(1, b"x" * 4_194_304)
            assert await a.network.call(pairs.B, event, _LIMIT_S) == event


@trios.trio_test
async def test_dialing_host_of_another_authority_is_refused() -> None:
    """A stranger with a certificate of its own dials a host.

    Were it let in, it could run requests past the contract. Under TLS 1.3 it
    believes that the handshake is done; the refusal comes at its first read.
    """
    with _open_authorities() as (ours, theirs):
        accepting = ours.make_host(pairs.B)
        await _check_refused(_trust(theirs, ours), accepting)
        kind = "PeerCredentialError"
        counts = accepting.counts
        assert counts.get("peer_refusals_total", cause=kind) == 1


@trios.trio_test
async def test_accepting_host_of_another_authority_is_refused() -> None:
    with _open_authorities() as (ours, theirs):
        dialing = ours.make_host(pairs.A)
        await _check_refused(dialing, theirs.make_host(pairs.B))


@trios.trio_test
async def test_certificate_of_another_name_is_refused_both_ways() -> None:
    """One host's key is stolen and used under the name of another host.

    The certificate is the deployment's, so TLS alone lets it in. It could
    then answer as the keeper of upstreams that it does not keep.
    """
    with _open_authorities() as (ours, _):
        liar = ours.make_host(pairs.A, "host-c")
        honest = ours.make_host(pairs.B)
        await _check_refused(liar, honest)
        kind = "PeerCredentialError"
        assert honest.counts.get("peer_refusals_total", cause=kind) == 1
        liar = ours.make_host(pairs.B, "host-c")
        await _check_refused(ours.make_host(pairs.A), liar)


@trios.trio_test
async def test_host_without_tls_gets_no_link_to_one_with() -> None:
    with _open_authorities() as (ours, _):
        secured = ours.make_host(pairs.B)
        async with pairs.open_pair(pairs.make_host(pairs.A), secured) as (a, b):
            await _fail_call(a)
            kind = "PeerCredentialError"
            assert b.counts.get("peer_refusals_total", cause=kind) == 1


@trios.trio_test
async def test_stream_that_ends_in_the_handshake_is_no_refusal() -> None:
    """Operators are alarmed by refused credentials after each network cut.

    A link is dialed while the network is cut; the dialing host gives up, and
    the other side reads the end of the stream in the middle of the handshake.
    Cause: each handshake that fails counted as a wrong credential.
    """
    with _open_authorities() as (ours, _):
        async with pairs.open_pair(accepting := ours.make_host(pairs.A)):
            port = accepting.network.port
            stream = await trio.open_tcp_stream(pairs.ADDRESS, port)
            await stream.aclose()
            counts = accepting.counts
            with trio.fail_after(_LIMIT_S):
                while not counts.sum("peer_refusals_total"):
                    await trio.sleep(0.01)
            kind = "PeerUnreachableError"
            assert counts.get("peer_refusals_total", cause=kind) == 1


@trios.trio_test
async def test_missing_file_is_an_error_of_the_settings() -> None:
    tls = {"certificate": "no.pem", "key": "no.key", "authority": "no.pem"}
    try:
        pairs.make_host(pairs.A, tls=tls)
    except errors.SettingsError as error:
        assert "no.pem" in str(error)
        return
    raise AssertionError("the settings were taken")


def _trust(issuer: _Authority, trusted: _Authority) -> pairs.Host:
    """Returns a host of one authority that itself trusts another."""
    host = issuer.make_host(pairs.A)
    tls = host.settings.peers.tls
    assert tls is not None
    changed = {**tls.model_dump(), "authority": trusted.pem}
    return pairs.make_host(pairs.A, tls=changed, connect_timeout_s=_LIMIT_S)
