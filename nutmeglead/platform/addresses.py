"""Parse addresses of the form ip:port."""

import reprlib
import socket

__all__ = ["parse_address"]


def parse_address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port; raise ValueError if the text has another form.

    Host names are refused, because the platform has no name lookups.
    """
    ip, _, port = text.rpartition(":")
    if not _is_ipv4_address(ip) or not port.isdecimal() or not 0 < int(port) < 65_536:
        raise ValueError(
            f"expected an IPv4 address and a port as ip:port, got {reprlib.repr(text)}"
        )
    return ip, int(port)


def _is_ipv4_address(ip: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError):
        return False
    return True
