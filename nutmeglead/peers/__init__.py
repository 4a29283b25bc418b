"""Exchange heartbeats and range maps between entry VMs."""
