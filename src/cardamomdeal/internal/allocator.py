"""Settings of the C library's memory allocator."""

import ctypes
import logging

# From <malloc.h>.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Larger blocks are mapped one by one, and returned when they are freed.
MAPPED_BLOCK_BYTES = 32 * 1024
# Each arena keeps what its threads have freed.
MAX_ARENAS = 2

log = logging.getLogger(__name__)


def limit_kept_memory() -> None:
    """Let the allocator keep little of what is freed.

    By default, it raises the size of the blocks that it returns with those
    that are freed, has an arena for almost each thread, and keeps several
    times what is in use.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except AttributeError:
        log.warning('this C library has no mallopt; freed memory may be kept')
        return
    for option, value in (
        (M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES),
        (M_ARENA_MAX, MAX_ARENAS),
    ):
        if not mallopt(option, value):
            log.warning('mallopt failed; freed memory may be kept')
