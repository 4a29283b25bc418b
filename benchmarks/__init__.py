"""Measure the system; each benchmark writes docs/measurements/<name>.md and .json."""
