"""Turn tickets into placement, placement into grants, and losses into recovery."""
