"""Decide who owns a key: units, pages, leases, renewals and handovers."""
