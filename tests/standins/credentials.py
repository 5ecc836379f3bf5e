"""The credential of a deployment, made for one test."""

from __future__ import annotations

import pathlib
import secrets

import trustme

from persimmonhinge.settings import entry

_SECRET_OCTETS = 32


class Credentials:
    """Files with certificates for hosts and a secret for heartbeats."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._authority = trustme.CA()
        self._authority_file = folder / "authority.pem"
        self._authority.cert_pem.write_to_path(self._authority_file)
        self._secret_file = folder / "heartbeat.secret"
        self._secret_file.write_text(secrets.token_hex(_SECRET_OCTETS))

    @property
    def heartbeat_secret_file(self) -> str:
        """File whose content authenticates heartbeats."""
        return str(self._secret_file)

    def issue(self, host: str) -> entry.TlsSettings:
        """Writes a certificate and its key for a host."""
        issued = self._authority.issue_cert(host)
        certificate = self._folder / f"{host}.pem"
        key = self._folder / f"{host}.key"
        for number, part in enumerate(issued.cert_chain_pems):
            part.write_to_path(certificate, append=number > 0)
        issued.private_key_pem.write_to_path(key)
        return entry.TlsSettings(
            certificate=str(certificate),
            key=str(key),
            authority=str(self._authority_file),
        )
