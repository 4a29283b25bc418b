"""Run the whole system in one process on loopback and check its promises."""
