"""Own key ranges: the range map, its balancer and the acting controller."""
