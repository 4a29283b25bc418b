"""Carry requests from callers to the servers that own their keys."""
