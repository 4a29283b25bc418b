"""Serve metrics and health on a port of their own, and run a process until it is told to stop."""
