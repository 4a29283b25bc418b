"""Exchange typed messages between the project's own processes over TCP."""
