"""Set up the C library's memory allocator for a machine with little memory."""

from __future__ import annotations

import ctypes

# Options of mallopt in malloc.h of the GNU C library.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
_LARGE_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Make the allocator return large blocks to the system as soon as they are freed.

    By default the GNU allocator raises its threshold to the size of the largest block that was
    freed, up to 32 MiB, and later blocks of that size leave holes in its heap. Other C libraries
    have no such function and are left as they are.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, _LARGE_BYTES)
        mallopt(_M_TRIM_THRESHOLD, _LARGE_BYTES)
