"""Select, from the logs of many nodes, the lines that explain a request or a key."""
