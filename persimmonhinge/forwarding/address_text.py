"""IPv4 addresses and ports in text form.

`inet_pton` takes four decimal octets and nothing else. `inet_aton` also takes
octal and shortened addresses and text after a space, and `sendto` looks up
everything else as a host name.
"""

from __future__ import annotations

# The C module is imported directly, as its wrapper `socket` is slow to import.
import _socket

from persimmonhinge.forwarding import flow

MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# First address after 0.0.0.0/8, which names no host.
_FIRST_UNICAST = 1 << 24
# Multicast addresses, and the broadcast address.
_FIRST_MULTICAST = 0xE0000000
_FIRST_AFTER_MULTICAST = 0xF0000000
_BROADCAST = 0xFFFFFFFF


def parse_address(text: str) -> int:
    """Parses an address of four decimal octets; returns its 32 bits.

    Raises:
        ValueError: The text is something else.
    """
    try:
        return int.from_bytes(_socket.inet_pton(_socket.AF_INET, text))
    except (OSError, ValueError) as error:
        raise ValueError("is no IPv4 address of four decimal octets") from error


def parse_port(text: str) -> int:
    """Parses the number of a port, 1 to 65535.

    Raises:
        ValueError: The text is something else.
    """
    if not text.isascii() or not text.isdigit() or len(text) > _MAX_PORT_DIGITS:
        raise ValueError("has no port in decimal digits")
    port = int(text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"has no port from 1 to {MAX_PORT}")
    return port


def parse_endpoint(text: str) -> flow.Endpoint:
    """Parses an address and a port, as in `10.0.0.1:80`.

    Raises:
        ValueError: The text is something else.
    """
    host, _, port = text.rpartition(":")
    parse_address(host)
    return flow.Endpoint(host, parse_port(port))


def parse_destination(text: str) -> flow.Endpoint:
    """Parses an address and port that packets can be sent to.

    Raises:
        ValueError: The text is something else, or the address is that of no
            single host.
    """
    endpoint = parse_endpoint(text)
    if not is_destination(endpoint):
        raise ValueError("is the address of no single host")
    return endpoint


def is_destination(endpoint: flow.Endpoint) -> bool:
    """Returns whether an address can be that of one host.

    Names are refused, as they would be looked up, and so are short forms of
    addresses: two forms of one address would count as two hosts.
    """
    try:
        address = parse_address(endpoint.host)
    except ValueError:
        return False
    return _is_unicast(address) and 0 < endpoint.port <= MAX_PORT


def _is_unicast(address: int) -> bool:
    return (
        _FIRST_UNICAST <= address < _FIRST_MULTICAST
        or _FIRST_AFTER_MULTICAST <= address < _BROADCAST
    )
