"""Tickets, which permit a flow to run non-idempotent requests."""

from __future__ import annotations

import dataclasses
import enum
import hmac
import itertools
import struct

import trio
import xxhash

from persimmonhinge import errors
from persimmonhinge import ids
from persimmonhinge.flows import port
from persimmonhinge.keys import ring as ring_module
from persimmonhinge.keys import store
from persimmonhinge.membership import view as view_module
from persimmonhinge.settings import entry

# RFC 9175 section 2.2.1: Echo holds 1 to 40 octets.
TICKET_OCTETS = 40
MAX_KEEPERS = 2
# A ticket can start new requests during its life; the rows of these requests
# are retained for this time after it. RFC 7252 section 4.8.2 allows a caller
# to retransmit a confirmable request for 93 s (MAX_TRANSMIT_WAIT), and each
# copy must find the row of its request.
ROW_RETENTION_MS = 100_000

# Keepers assume that a ticket expires at most an hour after it was minted.
_MAX_TICKET_LIFE_MS = 3_599_000 - ROW_RETENTION_MS
_VERSION = 1
# Version, key id, service hash, home, ticket id, expiry, two keepers.
_BODY = struct.Struct("!BBII5s5sII")
_MAC_OCTETS = TICKET_OCTETS - _BODY.size
_EXPIRY_OCTETS = 5
_ID_OCTETS = 5
_HOME_OFFSET = 6
_ID_OFFSET = 10
_NO_REF = 0


class TicketFault(enum.Enum):
    """Why a ticket is refused.

    MALFORMED: The octets aren't a ticket of this system.
    OTHER_SERVICE: The ticket was minted for another service.
    UNKNOWN_KEY: The key of the ticket is retired, or this host hasn't
        received it yet; or a host with a newer version minted the ticket.
    FORGED: The HMAC doesn't match: the ticket is forged, or was
        minted for another caller.
    """

    MALFORMED = "malformed"
    OTHER_SERVICE = "other-service"
    UNKNOWN_KEY = "unknown-key"
    FORGED = "forged"


class RefusedTicketError(errors.TicketError):
    """A ticket is refused.

    Attributes:
        fault: Why it is refused.
    """

    def __init__(self, fault: TicketFault, flow: port.Flow) -> None:
        host, caller_port = flow.caller
        super().__init__(
            fault.value, step="read ticket", peer=f"{host}:{caller_port}"
        )
        self.fault = fault


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The decoded content of a ticket.

    Attributes:
        home: Incarnation of the host that minted the ticket.
        ticket_id: Number of the ticket, unique within that incarnation.
        expiry_ms: Uptime of that incarnation at which the rows of the ticket
            are removed, milliseconds.
        keepers: Keeper incarnations through which its requests may run.
    """

    home: ids.HostRef
    ticket_id: ids.TicketId
    expiry_ms: int
    keepers: tuple[ids.HostRef, ...]


class TicketMint:
    """Mints and reads tickets.

    Layout, in network order: version (1 octet), key id (1), hash of the
    service (4), home incarnation (4), ticket id (5), expiry in milliseconds
    of the home's uptime (5), two keeper incarnations (4 each, 0 for none),
    and 12 octets of an HMAC-SHA256 over these, the service and the caller's
    address. 96 bits can't be guessed in an online attack, and an Echo option
    holds at most 40 octets.
    """

    def __init__(
        self,
        settings: entry.EntrySettings,
        key_store: store.KeyStore,
        view: view_module.View,
    ) -> None:
        self._keys = key_store
        self._view = view
        life_ms = int(settings.flows.ticket_life_s * 1000)
        self._ticket_life_ms = min(life_ms, _MAX_TICKET_LIFE_MS)
        self._ticket_numbers = itertools.count(1)
        self._started_at: float | None = None
        self._own_refs: set[ids.HostRef] = set()
        self._revoked_until_ms = -1
        self._keys_version = -1
        self._secrets: dict[int, bytes] = {}

    def uptime_ms(self) -> int:
        """Returns the uptime of this process, milliseconds.

        It is monotonic and starts at 0 with the first call.
        """
        now = trio.current_time()
        if self._started_at is None:
            self._started_at = now
        return int((now - self._started_at) * 1000)

    def mint(self, flow: port.Flow, keepers: tuple[ids.HostRef, ...]) -> bytes:
        """Mints a ticket for a flow.

        Args:
            flow: The flow that may use the ticket.
            keepers: Keepers through which its requests may run; only the
                first two are used.

        Raises:
            TicketError: This host has no current key, because it hasn't
                received the key ring yet.
        """
        key = self._keys.ring.current()
        if key is None:
            raise errors.TicketError(
                "no current ticket key on this host", step="mint ticket"
            )
        home = self._view.self_member.ref
        self._own_refs.add(home)
        issued_ms = max(self.uptime_ms(), self._revoked_until_ms + 1)
        expiry_ms = issued_ms + self._ticket_life_ms + ROW_RETENTION_MS
        body = _BODY.pack(
            _VERSION,
            key.key_id,
            _hash_service(flow.service),
            home,
            next(self._ticket_numbers).to_bytes(_ID_OCTETS, "big"),
            expiry_ms.to_bytes(_EXPIRY_OCTETS, "big"),
            *_pad_keepers(keepers),
        )
        return body + _compute_mac(self._get_secret(key.key_id), body, flow)

    def read(self, octets: bytes, flow: port.Flow) -> Ticket:
        """Verifies and decodes a ticket that a flow sent with a request.

        The expiry isn't checked here, because it is a time on the uptime
        clock of the home that minted the ticket, which only that home can
        read; see `may_start_request`.

        Raises:
            RefusedTicketError: The octets aren't a ticket of this flow, or
                the key of the ticket isn't accepted here.
        """
        if len(octets) != TICKET_OCTETS:
            raise RefusedTicketError(TicketFault.MALFORMED, flow)
        if octets[0] != _VERSION:
            raise RefusedTicketError(TicketFault.UNKNOWN_KEY, flow)
        body = octets[: _BODY.size]
        fields = _BODY.unpack(body)
        _, key_id, service, home, ticket_id, expiry, first, second = fields
        if service != _hash_service(flow.service):
            raise RefusedTicketError(TicketFault.OTHER_SERVICE, flow)
        secret = self._get_secret(key_id)
        if secret is None:
            raise RefusedTicketError(TicketFault.UNKNOWN_KEY, flow)
        expected = _compute_mac(secret, body, flow)
        if not hmac.compare_digest(expected, octets[_BODY.size :]):
            raise RefusedTicketError(TicketFault.FORGED, flow)
        keepers = tuple(
            ids.HostRef(ref) for ref in (first, second) if ref != _NO_REF
        )
        return Ticket(
            ids.HostRef(home),
            ids.TicketId(ticket_id),
            int.from_bytes(expiry, "big"),
            keepers,
        )

    def read_home(self, octets: bytes, flow: port.Flow) -> ids.HostRef | None:
        """Returns the home that a ticket names, None to route by the hash.

        For a ticket with a key that this host doesn't know, it returns the
        claimed home unverified: that home may have received a new key
        earlier, and can verify the ticket.
        """
        try:
            return self.read(octets, flow).home
        except RefusedTicketError as error:
            if error.fault is TicketFault.UNKNOWN_KEY:
                return peek_home(octets)
            return None

    def is_own(self, home: ids.HostRef) -> bool:
        """Returns whether this process mints or minted tickets under a ref."""
        return home in self._own_refs or home == self._view.self_member.ref

    def is_current(self, home: ids.HostRef) -> bool:
        """Returns whether a host ref is the current one of this host."""
        return home == self._view.self_member.ref

    def may_start_request(self, ticket: Ticket) -> bool:
        """Returns whether a ticket of this host may start a new request."""
        issued_ms = ticket.expiry_ms - ROW_RETENTION_MS - self._ticket_life_ms
        if issued_ms <= self._revoked_until_ms:
            return False
        return self.uptime_ms() < ticket.expiry_ms - ROW_RETENTION_MS

    def revoke_issued(self) -> None:
        """Prevents all tickets issued so far from starting new requests.

        When the request table is full, a request is refused as not run and
        gets no row. A late copy of its datagram must not run once the table
        has free capacity. Storing the time of the latest such refusal is
        enough to refuse all these copies; tickets minted after it can start
        requests.
        """
        self._revoked_until_ms = max(
            self.uptime_ms(), self._revoked_until_ms + 1
        )

    def _get_secret(self, key_id: int) -> bytes | None:
        if self._keys_version != self._keys.changed.version:
            self._keys_version = self._keys.changed.version
            self._secrets = _read_secrets(self._keys.ring)
        return self._secrets.get(key_id)


def peek_home(octets: bytes) -> ids.HostRef | None:
    """Returns the home that a ticket claims, without verification."""
    if len(octets) != TICKET_OCTETS or octets[0] != _VERSION:
        return None
    end = _HOME_OFFSET + 4
    return ids.HostRef(int.from_bytes(octets[_HOME_OFFSET:end], "big"))


def peek_id(octets: bytes) -> ids.TicketId:
    """Returns the id that a ticket claims, without verification."""
    return ids.TicketId(octets[_ID_OFFSET : _ID_OFFSET + _ID_OCTETS])


def _read_secrets(ring: ring_module.KeyRing) -> dict[int, bytes]:
    return {key.key_id: key.read_secret() for key in ring.keys}


def _hash_service(service: ids.ServiceName) -> int:
    return xxhash.xxh32_intdigest(service.encode())


def _pad_keepers(keepers: tuple[ids.HostRef, ...]) -> list[int]:
    refs = [int(ref) for ref in keepers[:MAX_KEEPERS]]
    return refs + [_NO_REF] * (MAX_KEEPERS - len(refs))


def _compute_mac(secret: bytes | None, body: bytes, flow: port.Flow) -> bytes:
    host, caller_port = flow.caller
    address = f"{flow.service}\n{host}\n{caller_port}".encode()
    return hmac.digest(secret or b"", body + address, "sha256")[:_MAC_OCTETS]
