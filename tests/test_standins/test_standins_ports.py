"""Tests of the search for free ports."""

from __future__ import annotations

import socket
from unittest import mock

from tests.standins import ports


def test_found_ports_are_not_taken_before_they_are_bound() -> None:
    """A deployment doesn't start: "address already in use".

    A port was found free and let go. Before its host bound it, the kernel
    gave it to a caller of another deployment, or it was found again for
    another host.
    """
    first, _ = ports.read_kernel_range()
    found = [ports.find_udp_port(["127.0.0.1"]) for _ in range(1000)]
    assert max(found) < first
    assert len(set(found)) == len(found)


def test_port_in_use_on_one_address_is_passed_over() -> None:
    addresses = ["127.0.0.1", "127.0.0.2"]
    used = ports.find_udp_port(addresses)
    other = ports.find_udp_port(addresses)
    with (
        socket.socket(type=socket.SOCK_DGRAM) as taken,
        mock.patch.object(ports, "_drawn", iter([used, other])),
    ):
        taken.bind(("127.0.0.2", used))
        assert ports.find_udp_port(addresses) == other
