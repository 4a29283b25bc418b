"""Run all parts of one entry VM in one process."""
