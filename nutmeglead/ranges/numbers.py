"""Choose the first map versions, fences and role epochs of an era of the store.

They are above all of the eras before it, also above those of writes that a return has undone.
"""

__all__ = ["first_epoch", "first_number"]

# At ten writes a second, the most that a controller makes, an era has numbers for eleven days of
# writes without a pause, and a copy that is 1,000 s old has lost as many as the margin.
ERA_STEP = 10_000_000
LOST_NUMBERS_MARGIN = 10_000


def first_number(era: int, known: int) -> int:
    """Return a version or fence below which all numbers of earlier eras are."""
    return max(known + LOST_NUMBERS_MARGIN, era * ERA_STEP)


def first_epoch(era: int, known: int) -> int:
    """Return the epoch under which a node takes a role in an era."""
    return max(known, era * ERA_STEP) + 1
