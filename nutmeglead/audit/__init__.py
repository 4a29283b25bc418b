"""Record who changed what and why, and explain the owner of a key from it."""
