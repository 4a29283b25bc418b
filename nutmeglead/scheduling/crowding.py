"""Tell whether many nodes share each server, so that they need other decisions under load."""

__all__ = ["is_crowded"]

# Above this number of nodes per slot of a server, a node has few answers of each server, and
# several nodes are likely to choose the same one between two reports of each other's requests.
# Deployments of 10 to 12 nodes and servers of 2 to 4 slots stay below it, as before.
CROWDED_NODES_PER_SLOT = 8


def is_crowded(node_count: int, slots: int) -> bool:
    """Return whether many nodes share a server of so many slots."""
    return node_count > CROWDED_NODES_PER_SLOT * slots
