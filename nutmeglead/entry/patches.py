"""Keep how large rows of a table changed, so that a copy can hold the changes alone."""

from nutmeglead._generated.peers.ttypes import RowPatch
from nutmeglead.core.compression import compress, decompress
from nutmeglead.platform.store import StoreRow

__all__ = ["RowPatches", "apply_patches"]

# The patch of a smaller row saves less than it costs to make.
MIN_ROW_BYTES = 4_096
# Patches are kept while all of them together are smaller than the row divided by this, which is
# about what the whole row takes when it is compressed.
MIN_SAVING_FACTOR = 8


class RowPatches:
    """Hold by key the patches between the versions of a row up to its present one."""

    def __init__(self) -> None:
        self._by_key: dict[str, list[RowPatch]] = {}

    def record(self, old: StoreRow | None, new: StoreRow) -> None:
        """Add the patch of a row that has changed, and drop those that no longer save bytes."""
        if old is not None and old.version == new.version:
            return
        patches = self._by_key.pop(new.key, [])
        if old is None or old.value is None or new.value is None:
            return
        if len(new.value) < MIN_ROW_BYTES:
            return
        if patches and patches[-1].to_version != old.version:
            patches = []
        patches.append(RowPatch(old.version, new.version, compress(new.value, old.value)))
        size_bytes = sum(len(patch.data) for patch in patches)
        while size_bytes > len(new.value) // MIN_SAVING_FACTOR:
            size_bytes -= len(patches.pop(0).data)
        self._by_key[new.key] = patches

    def since(self, key: str, after: int) -> list[RowPatch] | None:
        """Return the patches for a node that has all changes up to version `after`, or None."""
        patches = self._by_key.get(key, [])
        needed = [patch for patch in patches if patch.to_version > after]
        return needed if needed and needed[0].from_version <= after else None


def apply_patches(row: StoreRow | None, patches: list[RowPatch]) -> bytes | None:
    """Return the value of a row after the patches, or None if they do not fit the row.

    Patches that another copy has brought while this one was fetched are passed over.
    """
    if row is None or row.value is None:
        return None
    value, missing = row.value, [patch for patch in patches if patch.to_version > row.version]
    if missing and missing[0].from_version != row.version:
        return None
    for patch in missing:
        patched = decompress(patch.data, value)
        if patched.is_err():
            return None
        value = patched.unwrap()
    return value
