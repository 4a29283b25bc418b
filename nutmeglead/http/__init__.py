"""Speak HTTP/1.1 over asyncio with h11, as a server and as a client."""
