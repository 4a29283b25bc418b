"""Share ids, clocks, errors, log events and registries between all packages."""
