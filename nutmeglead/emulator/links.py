"""Limit the rate at which emulated hosts send and receive."""

__all__ = ["SEGMENT_BYTES", "Links"]

# Streams share a link in turns of this size.
SEGMENT_BYTES = 8_192
# Datagrams are lost while data of more than this time waits for a link.
MAX_QUEUE_S = 0.1


class Links:
    """Hold the rate of each host's link, and until when each direction of it is in use.

    Hosts without a rate send and receive without delay.
    """

    def __init__(self) -> None:
        self._bytes_per_s: dict[str, float] = {}
        # By host and whether it sends.
        self._busy_until_s: dict[tuple[str, bool], float] = {}

    def set_rate(self, ip: str, bytes_per_s: float) -> None:
        """Limit what a host sends and what it receives to this rate each."""
        self._bytes_per_s[ip] = bytes_per_s

    def is_limited(self, sender: str, receiver: str) -> bool:
        """Return whether the link of either host has a limited rate."""
        return sender != receiver and (sender in self._bytes_per_s or receiver in self._bytes_per_s)

    def reserve(self, sender: str, receiver: str, size_bytes: int, now_s: float) -> float:
        """Queue data on both links, and return when the last byte has passed them."""
        passed_s = now_s
        for ip, is_sender in ((sender, True), (receiver, False)):
            rate = self._bytes_per_s.get(ip)
            if rate is not None:
                start_s = max(passed_s, self._busy_until_s.get((ip, is_sender), 0.0))
                passed_s = start_s + size_bytes / rate
                self._busy_until_s[(ip, is_sender)] = passed_s
        return passed_s

    def is_full(self, sender: str, receiver: str, now_s: float) -> bool:
        """Return whether a datagram is lost because too much data waits for a link."""
        return any(
            self._busy_until_s.get(key, 0.0) - now_s > MAX_QUEUE_S
            for key in ((sender, True), (receiver, False))
        )
