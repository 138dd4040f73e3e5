"""Slopes over sizes: one thing varied at a time, fitted by least squares."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np

MICROSECONDS = 1_000_000


class Fit(NamedTuple):
    """A straight line through measurements, and how well it fits."""

    name: str
    unit: str
    slope: float
    base: float
    fit: float
    sizes: tuple[int, ...]
    found: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the line's value at ``size``."""
        return self.base + self.slope * size


def fit_line(
    name: str,
    unit: str,
    sizes: Sequence[int],
    found: Sequence[float],
) -> Fit:
    """Fit a line; ``fit`` is the share of variance it explains."""
    slope, base = np.polyfit(sizes, found, 1)
    rest = np.array(found) - (slope * np.array(sizes) + base)
    spread = np.var(found)
    share = 1 - np.var(rest) / spread if spread else 1
    return Fit(
        name,
        unit,
        float(slope),
        float(base),
        float(share),
        tuple(sizes),
        tuple(found),
    )


def cpu_us(action: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call, in microseconds."""
    began = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - began) / repeats * MICROSECONDS


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that what ``make`` returns holds."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held if kept else 0
