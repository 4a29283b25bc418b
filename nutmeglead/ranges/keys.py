"""Define the number of keys of a service."""

__all__ = ["KEY_COUNT"]

# Keys are the numbers from 0 to KEY_COUNT - 1 (a rule of the platform).
KEY_COUNT = 65_536
