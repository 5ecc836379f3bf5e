"""The credential of the deployment: TLS with both sides checked."""

from __future__ import annotations

import logging
import ssl

import trio

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.membership import member as members
from persimmonhinge.peers import transport as transports
from persimmonhinge.settings import entry as settings_entry

logger = logging.getLogger(__name__)


class TlsTransport:
    """TCP under TLS; both sides show a certificate of the authority.

    A certificate is one host's: it must carry the name that the host gives in
    its hello, as a DNS or URI name. Addresses are not compared, since hosts
    are replaced under the same address.
    """

    def __init__(
        self,
        settings: settings_entry.TlsSettings,
        own_address: str | None = None,
    ) -> None:
        """Reads the files.

        Args:
            settings: The files.
            own_address: IP address to dial from; None for any.

        Raises:
            SettingsError: A file can't be read or does not fit the others.
        """
        self._settings = settings
        self._own_address = own_address
        self._client = _make_context(settings, ssl.PROTOCOL_TLS_CLIENT)
        self._server = _make_context(settings, ssl.PROTOCOL_TLS_SERVER)

    def reload(self) -> None:
        """Reads the files again, for the links opened from now on.

        Raises:
            SettingsError: They can't be used; the former ones stay in use.
        """
        client = _make_context(self._settings, ssl.PROTOCOL_TLS_CLIENT)
        server = _make_context(self._settings, ssl.PROTOCOL_TLS_SERVER)
        self._client = client
        self._server = server

    async def dial(self, member: members.Member) -> trio.abc.Stream:
        """Returns a stream to a host that showed its certificate."""
        stream = await transports.dial_tcp(member, self._own_address)
        secured = trio.SSLStream(stream, self._client)
        try:
            await _shake_hands(secured, member.host)
            self.check_name(secured, member.host)
        except BaseException:
            await trio.aclose_forcefully(stream)
            raise
        return secured

    async def accept(self, stream: trio.abc.Stream) -> trio.abc.Stream:
        """Returns the secured stream of a host that showed a certificate."""
        assert isinstance(stream, trio.abc.HalfCloseableStream)
        secured = trio.SSLStream(stream, self._server, server_side=True)
        await _shake_hands(secured, transports.describe(stream))
        return secured

    def check_name(self, stream: trio.abc.Stream, host: ids.HostId) -> None:
        """Checks that the certificate shown carries the name of a host.

        Raises:
            PeerCredentialError: It carries other names only.
        """
        assert isinstance(stream, trio.SSLStream)
        names = _read_names(stream.getpeercert() or {})
        if host not in names:
            raise errors.PeerCredentialError(
                f"certificate is for {', '.join(names) or 'nobody'}",
                step="check certificate",
                peer=host,
            )


def make_transport(
    settings: settings_entry.PeerSettings,
) -> transports.Transport:
    """Returns the transport that the settings ask for.

    Raises:
        SettingsError: The files of the credential can't be used.
    """
    if settings.tls is not None:
        return TlsTransport(settings.tls, settings.own_address)
    logger.warning("Peer streams are open to all: peers.tls is not set.")
    return transports.TcpTransport(settings.own_address)


def _make_context(
    settings: settings_entry.TlsSettings, protocol: int
) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # Names are checked by `check_name`: also URI names, and for both sides.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    try:
        context.load_cert_chain(settings.certificate, settings.key)
        context.load_verify_locations(settings.authority)
    except (OSError, ssl.SSLError) as error:
        files = f"{settings.certificate}, {settings.key}, {settings.authority}"
        raise errors.SettingsError(
            f"can't be used: {error}", step="read credential", peer=files
        ) from error
    return context


async def _shake_hands(stream: trio.SSLStream, peer: str) -> None:
    try:
        await stream.do_handshake()
    except trio.BrokenResourceError as error:
        raise _explain(error, peer) from error


def _explain(error: trio.BrokenResourceError, peer: str) -> errors.PeerError:
    """Returns why a handshake failed.

    Guards against a cut that shows as an attack: a stream that just ends in
    the handshake, as when the other side gave up waiting, says nothing of
    any credential. A side that refuses one knows it and counts it itself.
    """
    step = "shake hands"
    cause = error.__cause__
    if isinstance(cause, ssl.SSLCertVerificationError):
        text = f"certificate refused: {cause.verify_message}"
        return errors.PeerCredentialError(text, step=step, peer=peer)
    if isinstance(cause, ssl.SSLEOFError) or not isinstance(
        cause, ssl.SSLError
    ):
        text = f"ended: {cause or error}"
        return errors.PeerUnreachableError(text, step=step, peer=peer)
    text = f"no TLS with a credential: {cause}"
    return errors.PeerCredentialError(text, step=step, peer=peer)


def _read_names(certificate: dict[str, object]) -> list[str]:
    entries = certificate.get("subjectAltName", ())
    assert isinstance(entries, tuple)
    return [name for kind, name in entries if kind in ("DNS", "URI")]
