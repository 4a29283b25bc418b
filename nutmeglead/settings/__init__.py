"""Load settings and other structs from JSON with comments; report every fault with its path."""
