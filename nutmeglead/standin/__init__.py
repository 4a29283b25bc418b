"""Stand in for the platform and for backend servers in tests and in the demo."""
