"""Emulate a deployment in one process on virtual time and count broken requirements."""
