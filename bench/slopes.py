"""Measurements over sizes and their fit to a line by least squares."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

import numpy as np

MICROSECONDS = 1_000_000


class Fit(NamedTuple):
    """A line fitted to measurements; ``fit`` is the R² of the fit."""

    name: str
    unit: str
    slope: float
    base: float
    fit: float
    sizes: tuple[int, ...]
    found: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.base + self.slope * size


def fit_line(
    name: str,
    unit: str,
    sizes: Sequence[int],
    found: Sequence[float],
) -> Fit:
    """Fit a line by least squares."""
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
    """Return the mean processor time of one call, in microseconds."""
    began = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - began) / repeats * MICROSECONDS


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the memory in bytes of the object that ``make`` returns."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return held if kept else 0
