"""Spread placement pages and liveness between entry VMs."""
