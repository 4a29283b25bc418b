"""Adapters to the platform: its store, its servers and its documents, one module for each."""
