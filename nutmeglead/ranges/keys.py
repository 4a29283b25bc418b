"""Count the keys that ranges divide."""

__all__ = ["KEY_COUNT"]

# Servers hold ranges of numbers below this (platform).
KEY_COUNT = 65_536
