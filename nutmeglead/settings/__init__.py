"""Load settings and tickets from JSON with comments, and list every fault with its path."""
