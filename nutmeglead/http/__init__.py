"""HTTP/1.1 server and client on asyncio transports, with h11 as the parser."""
