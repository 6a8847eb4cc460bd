"""How the C library's allocator gives memory back to the system; does nothing without glibc."""

import ctypes

# Blocks of this size and more come from the system and go back to it when freed. Unless it is set,
# the threshold grows with each freed block, and large blocks then stay with the process.
MMAP_THRESHOLD_BYTES = 128 * 1024
# Of <malloc.h>.
M_MMAP_THRESHOLD = -3
M_TRIM_THRESHOLD = -1


def _function(name: str) -> ctypes._CFuncPtr | None:
    return getattr(ctypes.CDLL(None), name, None)


def return_large_blocks() -> bool:
    """Give large blocks back whenever they are freed; return whether the allocator can."""
    set_option = _function("mallopt")
    if set_option is None:
        return False
    trims = set_option(M_TRIM_THRESHOLD, MMAP_THRESHOLD_BYTES)
    return bool(trims and set_option(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES))


def trim() -> bool:
    """Give back what is free between other blocks; return whether anything was."""
    release = _function("malloc_trim")
    return release is not None and bool(release(0))
