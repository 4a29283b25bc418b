"""Ids, clocks, errors, log events and registries that all packages use."""
