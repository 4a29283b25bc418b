"""Choose how long a grant of keys is in force without a renewal."""

__all__ = ["MAX_HOLD_MS", "MIN_HOLD_MS", "hold_for"]

# Target: a key is served again within 2 s of the loss of its server. That time has to cover the
# renewal interval, the timeout of the last renewal, the hold with its clock drift and the next
# grant.
MIN_HOLD_MS = 1_200
# Nodes report their grants of the last 3 s to each other, which has to cover the hold of a server,
# its clock drift and the delivery of a grant.
MAX_HOLD_MS = 2_500
# A server ends work that outlasts the hold which its keys had when it began, so a hold has to cover
# the longer ones of the requests that are still in time: of 330 ms of work on average, one in six
# lasted longer than what was left of 1.2 s on slow servers.
TARGET_LATENCY_FACTOR = 2.5


def hold_for(target_latency_ms: int) -> int:
    """Return the hold for a service with a target latency."""
    wanted_ms = round(TARGET_LATENCY_FACTOR * target_latency_ms)
    return max(MIN_HOLD_MS, min(MAX_HOLD_MS, wanted_ms))
