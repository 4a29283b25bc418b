"""Tell from the logs of many nodes what became of a request or of a key."""
