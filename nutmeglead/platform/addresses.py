"""Parse addresses of the form ip:port."""

__all__ = ["parse_address"]


def parse_address(given: str) -> tuple[str, int]:
    """Return the ip and the port, or raise ValueError."""
    ip, separator, port = given.rpartition(":")
    if not separator or not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"expected ip:port, got {given!r}")
    return ip, int(port)
