"""Meet each outside system through one port, with one adapter module per system."""
