"""Assign key ranges to servers: the range map, its balancer and its controller."""
