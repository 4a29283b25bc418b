"""Parse addresses of the form ip:port."""

__all__ = ["parse_address"]


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and the port; raise ValueError if the text has another form."""
    ip, separator, port = text.rpartition(":")
    if not separator or not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"expected an address of the form ip:port, got {text!r}")
    return ip, int(port)
