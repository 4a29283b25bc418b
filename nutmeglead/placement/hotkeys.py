"""Find the keys with the most requests in bounded memory."""

import random

import xxhash
from probables import HeavyHitters

__all__ = ["HotKeyFinder"]

# With 4,096 counters per row, a key's count is too high by at most 2/4096 of the window's sampled
# requests with a probability of 1 - 2**-depth (Cormode and Muthukrishnan 2005).
SKETCH_WIDTH = 4096
SKETCH_DEPTH = 4
_MASK_64 = (1 << 64) - 1


class HotKeyFinder:
    """Count a sample of a router's requests per key and keep the most frequent keys.

    Each window starts with an empty sketch, so keys that are no longer hot leave within one window;
    the decayed counters of LoadMerger smooth the windows. `sample_every` is the mean number of
    requests per counted one: see docs/decisions/placement.md for its cost.
    """

    def __init__(self, max_keys: int, sample_every: int, rng: random.Random) -> None:
        if sample_every < 1:
            raise ValueError(f"sample_every must be 1 or more, got {sample_every}")
        self._max_keys = max_keys
        self._sample_every = sample_every
        self._rng = rng
        self._sketch = self._new_sketch()
        self._skip = self._draw_skip()

    def count(self, key: str) -> None:
        """Count one request, if it falls into the sample."""
        self._skip -= 1
        if self._skip <= 0:
            self._skip = self._draw_skip()
            self._sketch.add(key)

    def take_window(self) -> list[tuple[str, int]]:
        """Return the hottest keys with their estimated requests and begin a new window."""
        counts = self._sketch.heavy_hitters
        self._sketch = self._new_sketch()
        hottest = sorted(counts.items(), key=lambda entry: (-entry[1], entry[0]))
        return [(key, count * self._sample_every) for key, count in hottest]

    def _new_sketch(self) -> HeavyHitters:
        # clear() of the library takes one Python step per counter; a new object does not.
        return HeavyHitters(
            num_hitters=self._max_keys,
            width=SKETCH_WIDTH,
            depth=SKETCH_DEPTH,
            hash_function=_hashes,
        )

    def _draw_skip(self) -> int:
        # Random gaps keep the sample from locking onto a caller that sends keys in a fixed cycle.
        return self._rng.randint(1, 2 * self._sample_every - 1)


def _hashes(key: str | bytes, depth: int) -> list[int]:
    """Return `depth` hashes made of the two halves of one (Kirsch and Mitzenmacher 2006)."""
    data = key.encode() if isinstance(key, str) else key
    both = xxhash.xxh3_128_intdigest(data)
    first, second = both >> 64, both & _MASK_64
    return [first + row * second for row in range(depth)]
