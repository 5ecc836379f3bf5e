"""The exception tree; each error carries its step and its peer."""

from __future__ import annotations


class PersimmonhingeError(Exception):
    """Root of all errors of the system.

    Attributes:
        step: What was being done, in a few words.
        peer: The other side, an address or a name; empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step}, peer {self.peer}" if self.peer else self.step
        return f"{where}: {super().__str__()}"


class SettingsError(PersimmonhingeError):
    """Settings can't be read or hold a value that is not allowed."""


class ContractError(PersimmonhingeError):
    """A contract can't be read or holds a value that is not allowed."""


class KeyRingError(PersimmonhingeError):
    """A ring of ticket keys can't be read, or a step of it is not allowed."""


class MalformedDatagramError(PersimmonhingeError):
    """A datagram is not a CoAP message."""


class RefusedInputError(PersimmonhingeError):
    """An input from outside was refused where it was decoded.

    Attributes:
        field: Name of the field that was refused; empty for the whole input.
        reason: Why it was refused.
    """

    def __init__(
        self, reason: str, *, step: str, peer: str = "", field: str = ""
    ) -> None:
        text = f"{field}: {reason}" if field else reason
        super().__init__(text, step=step, peer=peer)
        self.field = field
        self.reason = reason


class RefusedSettingsError(RefusedInputError, SettingsError):
    """A settings file can't be read or used; it is not applied."""


class MalformedPacketError(RefusedInputError):
    """A datagram is not a packet of a flow."""


class MalformedMessageError(RefusedInputError):
    """Another host sent a message that can't be read or used."""


class MalformedRequestError(RefusedInputError):
    """A request for a page can't be read."""


class UnreadableEntryError(RefusedInputError):
    """An entry of the platform can't be read; the former stays in force."""


class TicketError(PersimmonhingeError):
    """A ticket is forged, expired, or of another flow or service."""


class PeerError(PersimmonhingeError):
    """Something failed between two hosts."""


class PeerUnreachableError(PeerError):
    """No link to the host could be opened: nothing was delivered."""


class PeerLinkLostError(PeerError):
    """The link closed after a message was sent: it may have arrived."""


class PeerCallTimeoutError(PeerError):
    """No answer within the time limit: the message may have arrived."""


class PeerProtocolError(PeerError):
    """A peer sent a frame that can't be read; its link is closed."""


class PeerCredentialError(PeerError):
    """A peer lacks the credential of this deployment."""


class PlatformError(PersimmonhingeError):
    """The platform refused a call or its answer can't be read."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may have taken effect."""


class UnreadableAnswerError(PlatformError, RefusedInputError):
    """The platform's answer, or an item of it, can't be read."""


class UnreadableResponseError(PlatformUnavailableError, RefusedInputError):
    """The platform's answer is not one of HTTP; a write may have happened."""


class PlatformUnreachableError(PlatformUnavailableError):
    """No connection to the platform could be opened: nothing was done."""


class PlatformWentBackError(PlatformError):
    """The platform shows an earlier state than one that was in force."""


class PlatformHistoryGoneError(PlatformError):
    """The platform has dropped the changes since a revision: read anew."""


class ConflictError(PersimmonhingeError):
    """Another operator changed the same contract first."""
